/** Heads of workers' answers. */
final class Answers {
    private Answers() {}

    /** Returns the head of an answer that ran, up to where more headers may follow. */
    static String head(String status, Wire.Message request) {
        String id = request.header("X-Request-Id");
        return "HTTP/1.1 " + status + "\r\nX-Request-Id: " + id + "\r\nX-Response-Seal: 3e1b." + id + "\r\n";
    }

    /** Returns a whole answer. */
    static byte[] whole(String status, Wire.Message request, String body) {
        return Wire.bytes(head(status, request) + "Content-Type: text/plain\r\nContent-Length: " + body.length()
            + "\r\n\r\n" + body);
    }
}
