import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the JSON bodies that hosts send to the store; objects become maps, arrays become lists. */
final class Json {
    private final String text;
    private int index;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    static String quote(String value) {
        return '"' + value.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(index);
        if (c == '{') return object();
        if (c == '[') return array();
        if (c == '"') return string();
        int begin = index;
        while (index < text.length() && ",]} \n".indexOf(text.charAt(index)) < 0) index++;
        String word = text.substring(begin, index);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        return word.contains(".") ? (Object) Double.valueOf(word) : (Object) Long.valueOf(word);
    }

    private Map<String, Object> object() {
        Map<String, Object> result = new LinkedHashMap<>();
        index++;
        while (true) {
            skipSpace();
            if (text.charAt(index) == '}') break;
            String key = string();
            skipSpace();
            index++;
            result.put(key, value());
            skipSpace();
            if (text.charAt(index) == ',') index++;
        }
        index++;
        return result;
    }

    private List<Object> array() {
        List<Object> result = new ArrayList<>();
        index++;
        while (true) {
            skipSpace();
            if (text.charAt(index) == ']') break;
            result.add(value());
            skipSpace();
            if (text.charAt(index) == ',') index++;
        }
        index++;
        return result;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        index++;
        while (text.charAt(index) != '"') {
            char c = text.charAt(index++);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char escaped = text.charAt(index++);
            if (escaped == 'u') {
                result.append((char) Integer.parseInt(text.substring(index, index + 4), 16));
                index += 4;
            } else {
                result.append(escaped == 'n' ? '\n' : escaped == 't' ? '\t' : escaped == 'r' ? '\r' : escaped);
            }
        }
        index++;
        return result.toString();
    }

    private void skipSpace() {
        while (index < text.length() && text.charAt(index) <= ' ') index++;
    }
}
