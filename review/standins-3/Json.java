import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON documents into maps, lists, strings, numbers and booleans. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private Object value() {
        blank();
        switch (text.charAt(at)) {
            case '{':
                return object();
            case '[':
                return list();
            case '"':
                return string();
            default:
                return word();
        }
    }

    private Map<String, Object> object() {
        Map<String, Object> fields = new LinkedHashMap<>();
        at++;
        for (blank(); text.charAt(at) != '}'; blank()) {
            if (text.charAt(at) == ',') {
                at++;
                blank();
            }
            String name = string();
            blank();
            at++;
            fields.put(name, value());
        }
        at++;
        return fields;
    }

    private List<Object> list() {
        List<Object> items = new ArrayList<>();
        at++;
        for (blank(); text.charAt(at) != ']'; blank()) {
            if (text.charAt(at) == ',') at++;
            items.add(value());
        }
        at++;
        return items;
    }

    private String string() {
        StringBuilder read = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char next = text.charAt(at++);
            if (next != '\\') {
                read.append(next);
                continue;
            }
            char escaped = text.charAt(at++);
            if (escaped == 'u') {
                read.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                at += 4;
            } else {
                read.append(escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped);
            }
        }
        at++;
        return read.toString();
    }

    private Object word() {
        int from = at;
        while (at < text.length() && ",}] \n\r\t".indexOf(text.charAt(at)) < 0) at++;
        String word = text.substring(from, at);
        if (word.equals("true") || word.equals("false")) return word.equals("true");
        return word.equals("null") ? null : Double.valueOf(word);
    }

    private void blank() {
        while (at < text.length() && text.charAt(at) <= ' ') at++;
    }
}
