package review;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** CBOR for maps, lists, text, integers, floating-point numbers, booleans and null. */
final class Cbor {
    private final byte[] in;
    private int at;

    private Cbor(byte[] in) {
        this.in = in;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(byte[] bytes) {
        return bytes.length == 0 ? new LinkedHashMap<>() : (Map<String, Object>) new Cbor(bytes).read();
    }

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        if (n < 24) {
            out.write(major << 5 | (int) n);
            return;
        }
        int size = n < 0x100 ? 0 : n < 0x10000 ? 1 : n < 0x100000000L ? 2 : 3;
        out.write(major << 5 | 24 + size);
        for (int shift = (8 << size) - 8; shift >= 0; shift -= 8) out.write((int) (n >>> shift));
    }

    private static void write(ByteArrayOutputStream out, Object value) {
        if (value == null) {
            out.write(0xf6);
        } else if (value instanceof Boolean b) {
            out.write(b ? 0xf5 : 0xf4);
        } else if (value instanceof Integer || value instanceof Long) {
            long n = ((Number) value).longValue();
            head(out, n < 0 ? 1 : 0, n < 0 ? -1 - n : n);
        } else if (value instanceof Number n) {
            out.write(0xfb);
            long bits = Double.doubleToLongBits(n.doubleValue());
            for (int shift = 56; shift >= 0; shift -= 8) out.write((int) (bits >>> shift));
        } else if (value instanceof String s) {
            byte[] text = s.getBytes(StandardCharsets.UTF_8);
            head(out, 3, text.length);
            out.writeBytes(text);
        } else if (value instanceof List<?> list) {
            head(out, 4, list.size());
            for (Object element : list) write(out, element);
        } else if (value instanceof Map<?, ?> map) {
            head(out, 5, map.size());
            map.forEach((k, v) -> {
                write(out, k);
                write(out, v);
            });
        } else {
            throw new IllegalArgumentException("no CBOR form: " + value.getClass());
        }
    }

    private long bytes(int count) {
        long n = 0;
        for (int i = 0; i < count; i++) n = n << 8 | (in[at++] & 0xff);
        return n;
    }

    private Object read() {
        int first = in[at++] & 0xff;
        int major = first >> 5;
        int info = first & 31;
        if (major == 7) {
            return switch (info) {
                case 20 -> false;
                case 21 -> true;
                case 22, 23 -> null;
                case 25 -> half((int) bytes(2));
                case 26 -> (double) Float.intBitsToFloat((int) bytes(4));
                case 27 -> Double.longBitsToDouble(bytes(8));
                default -> throw new IllegalArgumentException("CBOR simple value " + info);
            };
        }
        boolean open = info == 31;
        long n = open ? Long.MAX_VALUE : info < 24 ? info : bytes(1 << (info - 24));
        switch (major) {
            case 0: return n;
            case 1: return -1 - n;
            case 3: return open ? chunks() : text((int) n);
            case 4: {
                List<Object> list = new ArrayList<>();
                while (list.size() < n && !(open && end())) list.add(read());
                return list;
            }
            case 5: {
                Map<String, Object> map = new LinkedHashMap<>();
                for (long i = 0; i < n && !(open && end()); i++) {
                    String key = (String) read();
                    map.put(key, read());
                }
                return map;
            }
            default: throw new IllegalArgumentException("CBOR major type " + major);
        }
    }

    private static double half(int h) {
        double mantissa = h & 0x3ff;
        int exponent = h >> 10 & 31;
        double value = exponent == 0 ? mantissa * Math.pow(2, -24)
            : exponent == 31 ? (mantissa == 0 ? Double.POSITIVE_INFINITY : Double.NaN)
            : (mantissa + 1024) * Math.pow(2, exponent - 25);
        return (h & 0x8000) == 0 ? value : -value;
    }

    private boolean end() {
        if ((in[at] & 0xff) != 0xff) return false;
        at++;
        return true;
    }

    private String text(int length) {
        at += length;
        return new String(in, at - length, length, StandardCharsets.UTF_8);
    }

    private String chunks() {
        StringBuilder all = new StringBuilder();
        while (!end()) all.append((String) read());
        return all.toString();
    }
}
