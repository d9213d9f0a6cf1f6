package lab2;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes and decodes CBOR bodies of maps, lists, text, numbers, booleans and null. */
public final class Cbor {
    private Cbor() {}

    public static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        int m = major << 5;
        if (n < 24) {
            out.write(m | (int) n);
        } else if (n < 0x100) {
            out.write(m | 24);
            out.write((int) n);
        } else if (n < 0x10000) {
            out.write(m | 25);
            bytes(out, n, 2);
        } else if (n < 0x100000000L) {
            out.write(m | 26);
            bytes(out, n, 4);
        } else {
            out.write(m | 27);
            bytes(out, n, 8);
        }
    }

    private static void bytes(ByteArrayOutputStream out, long n, int count) {
        for (int i = count - 1; i >= 0; i--) out.write((int) (n >>> (8 * i)) & 0xff);
    }

    private static void write(ByteArrayOutputStream out, Object v) {
        if (v == null) {
            out.write(0xf6);
        } else if (v instanceof Boolean b) {
            out.write(b ? 0xf5 : 0xf4);
        } else if (v instanceof Double d) {
            out.write(0xfb);
            bytes(out, Double.doubleToLongBits(d), 8);
        } else if (v instanceof Number n) {
            long l = n.longValue();
            if (l >= 0) head(out, 0, l);
            else head(out, 1, -1 - l);
        } else if (v instanceof String s) {
            byte[] b = s.getBytes(StandardCharsets.UTF_8);
            head(out, 3, b.length);
            out.writeBytes(b);
        } else if (v instanceof List<?> l) {
            head(out, 4, l.size());
            for (Object e : l) write(out, e);
        } else if (v instanceof Map<?, ?> m) {
            head(out, 5, m.size());
            for (Map.Entry<?, ?> e : m.entrySet()) {
                write(out, e.getKey());
                write(out, e.getValue());
            }
        } else {
            throw new IllegalArgumentException("no CBOR form for " + v.getClass());
        }
    }

    @SuppressWarnings("unchecked")
    public static Map<String, Object> map(byte[] body) {
        return (Map<String, Object>) read(ByteBuffer.wrap(body));
    }

    private static final Object BREAK = new Object();

    private static Object read(ByteBuffer in) {
        int first = in.get() & 0xff;
        int major = first >> 5;
        int info = first & 31;
        if (major == 7) return simple(in, info);
        boolean open = info == 31;
        long n = open ? -1 : length(in, info);
        switch (major) {
            case 0:
                return n;
            case 1:
                return -1 - n;
            case 3:
                return text(in, n);
            case 4: {
                List<Object> list = new ArrayList<>();
                for (long i = 0; open || i < n; i++) {
                    Object e = read(in);
                    if (e == BREAK) break;
                    list.add(e);
                }
                return list;
            }
            case 5: {
                Map<String, Object> map = new LinkedHashMap<>();
                for (long i = 0; open || i < n; i++) {
                    Object k = read(in);
                    if (k == BREAK) break;
                    map.put((String) k, read(in));
                }
                return map;
            }
            default:
                throw new IllegalArgumentException("CBOR type " + major);
        }
    }

    private static String text(ByteBuffer in, long n) {
        if (n >= 0) {
            byte[] b = new byte[(int) n];
            in.get(b);
            return new String(b, StandardCharsets.UTF_8);
        }
        StringBuilder s = new StringBuilder();
        for (Object part = read(in); part != BREAK; part = read(in)) s.append(part);
        return s.toString();
    }

    private static long length(ByteBuffer in, int info) {
        if (info < 24) return info;
        return switch (info) {
            case 24 -> in.get() & 0xffL;
            case 25 -> in.getShort() & 0xffffL;
            case 26 -> in.getInt() & 0xffffffffL;
            case 27 -> in.getLong();
            default -> throw new IllegalArgumentException("CBOR length " + info);
        };
    }

    private static Object simple(ByteBuffer in, int info) {
        return switch (info) {
            case 20 -> false;
            case 21 -> true;
            case 22, 23 -> null;
            case 25 -> half(in.getShort());
            case 26 -> (double) in.getFloat();
            case 27 -> in.getDouble();
            case 31 -> BREAK;
            default -> throw new IllegalArgumentException("CBOR simple value " + info);
        };
    }

    private static double half(short bits) {
        int e = bits >> 10 & 31;
        int m = bits & 1023;
        double v = e == 0 ? Math.scalb(m, -24) : Math.scalb(m + 1024, e - 25);
        return bits < 0 ? -v : v;
    }
}
