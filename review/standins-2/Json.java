import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader for the calls of the system's own processes. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    private Object value() {
        skip();
        char next = text.charAt(at);
        if (next == '{') return objectValue();
        if (next == '[') return listValue();
        if (next == '"') return string();
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(start, at);
        if (word.equals("true") || word.equals("false")) return word.equals("true");
        return word.equals("null") ? null : (Object) Double.valueOf(word);
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        skip();
        while (text.charAt(at) != '}') {
            String name = string();
            skip();
            at++;
            fields.put(name, value());
            skip();
            if (text.charAt(at) == ',') at++;
            skip();
        }
        at++;
        return fields;
    }

    private List<Object> listValue() {
        List<Object> items = new ArrayList<>();
        at++;
        skip();
        while (text.charAt(at) != ']') {
            items.add(value());
            skip();
            if (text.charAt(at) == ',') at++;
            skip();
        }
        at++;
        return items;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next != '\\') {
                result.append(next);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> result.append('\n');
                case 't' -> result.append('\t');
                case 'r' -> result.append('\r');
                case 'u' -> {
                    result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> result.append(escaped);
            }
        }
        at++;
        return result.toString();
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }
}
