import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads the few JSON bodies that the stand-ins receive: objects, arrays, texts and numbers. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) new Json(text).value();
    }

    private Object value() {
        skipSpace();
        char first = text.charAt(position);
        if (first == '{') return map();
        if (first == '[') return list();
        if (first == '"') return string();
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) position++;
        String word = text.substring(start, position);
        if (word.equals("null")) return null;
        if (word.equals("true") || word.equals("false")) return Boolean.valueOf(word);
        return Double.valueOf(word);
    }

    private Map<String, Object> map() {
        Map<String, Object> result = new LinkedHashMap<>();
        position++;
        while (!next('}')) {
            String name = string();
            next(':');
            result.put(name, value());
            next(',');
        }
        return result;
    }

    private List<Object> list() {
        List<Object> result = new ArrayList<>();
        position++;
        while (!next(']')) {
            result.add(value());
            next(',');
        }
        return result;
    }

    private String string() {
        skipSpace();
        StringBuilder result = new StringBuilder();
        position++;
        while (text.charAt(position) != '"') {
            if (text.charAt(position) == '\\') position++;
            result.append(text.charAt(position++));
        }
        position++;
        return result.toString();
    }

    private boolean next(char expected) {
        skipSpace();
        if (text.charAt(position) != expected) return false;
        position++;
        skipSpace();
        return true;
    }

    private void skipSpace() {
        while (position < text.length() && text.charAt(position) <= ' ') position++;
    }
}
