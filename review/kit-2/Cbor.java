import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Encodes and decodes CBOR: maps with text keys, lists, text, numbers, booleans and null. */
final class Cbor {
    private Cbor() {}

    static byte[] encode(Object value) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        write(out, value);
        return out.toByteArray();
    }

    private static void head(ByteArrayOutputStream out, int major, long n) {
        int m = major << 5;
        if (n >= 0 && n < 24) {
            out.write(m | (int) n);
        } else if (n >= 0 && n < 256) {
            out.write(m | 24);
            out.write((int) n);
        } else if (n >= 0 && n < 65536) {
            out.write(m | 25);
            out.write((int) (n >> 8));
            out.write((int) n);
        } else {
            out.write(m | 27);
            for (int i = 56; i >= 0; i -= 8) {
                out.write((int) (n >>> i));
            }
        }
    }

    private static void write(ByteArrayOutputStream out, Object v) {
        if (v == null) {
            out.write(0xf6);
        } else if (v instanceof Boolean b) {
            out.write(b ? 0xf5 : 0xf4);
        } else if (v instanceof Double || v instanceof Float) {
            long bits = Double.doubleToLongBits(((Number) v).doubleValue());
            out.write(0xfb);
            for (int i = 56; i >= 0; i -= 8) {
                out.write((int) (bits >>> i));
            }
        } else if (v instanceof Number n) {
            long l = n.longValue();
            if (l >= 0) {
                head(out, 0, l);
            } else {
                head(out, 1, -1 - l);
            }
        } else if (v instanceof String s) {
            byte[] b = s.getBytes(StandardCharsets.UTF_8);
            head(out, 3, b.length);
            out.writeBytes(b);
        } else if (v instanceof List<?> l) {
            head(out, 4, l.size());
            l.forEach(e -> write(out, e));
        } else if (v instanceof Map<?, ?> m) {
            head(out, 5, m.size());
            m.forEach((k, e) -> {
                write(out, k);
                write(out, e);
            });
        } else {
            throw new IllegalArgumentException(v.getClass().toString());
        }
    }

    /** Returns the decoded value; null for an empty or malformed input. */
    static Object decode(byte[] bytes) {
        try {
            return bytes.length == 0 ? null : new Reader(bytes).read();
        } catch (RuntimeException e) {
            return null;
        }
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> map(byte[] bytes) {
        return decode(bytes) instanceof Map<?, ?> m ? (Map<String, Object>) m : new LinkedHashMap<>();
    }

    private static final class Reader {
        private static final Object BREAK = new Object();
        private final byte[] in;
        private int at;

        Reader(byte[] in) {
            this.in = in;
        }

        private long number(int bytes) {
            long n = 0;
            for (int i = 0; i < bytes; i++) {
                n = n << 8 | (in[at++] & 0xff);
            }
            return n;
        }

        Object read() {
            int first = in[at++] & 0xff;
            int major = first >> 5;
            int low = first & 31;
            if (first == 0xff) {
                return BREAK;
            }
            if (major == 7) {
                return switch (low) {
                    case 20 -> Boolean.FALSE;
                    case 21 -> Boolean.TRUE;
                    case 22, 23 -> null;
                    case 25 -> half((int) number(2));
                    case 26 -> (double) Float.intBitsToFloat((int) number(4));
                    case 27 -> Double.longBitsToDouble(number(8));
                    default -> throw new IllegalArgumentException();
                };
            }
            boolean indefinite = low == 31;
            long n = low < 24 ? low : indefinite ? -1 : number(1 << (low - 24));
            switch (major) {
                case 0:
                    return n >= 0 ? (Object) n : new BigInteger(Long.toUnsignedString(n)).longValue();
                case 1:
                    return -1 - n;
                case 2:
                case 3:
                    if (indefinite) {
                        StringBuilder text = new StringBuilder();
                        for (Object part = read(); part != BREAK; part = read()) {
                            text.append(part);
                        }
                        return text.toString();
                    }
                    String s = new String(in, at, (int) n, StandardCharsets.UTF_8);
                    at += (int) n;
                    return s;
                case 4:
                    List<Object> list = new ArrayList<>();
                    for (long i = 0; indefinite || i < n; i++) {
                        Object e = read();
                        if (e == BREAK) {
                            break;
                        }
                        list.add(e);
                    }
                    return list;
                case 5:
                    Map<String, Object> map = new LinkedHashMap<>();
                    for (long i = 0; indefinite || i < n; i++) {
                        Object k = read();
                        if (k == BREAK) {
                            break;
                        }
                        map.put((String) k, read());
                    }
                    return map;
                default:
                    return read();
            }
        }

        private static double half(int h) {
            int e = h >> 10 & 31;
            int f = h & 1023;
            double v = e == 0 ? f * Math.pow(2, -24) : e == 31 ? Double.NaN : (1 + f / 1024.0) * Math.pow(2, e - 15);
            return (h & 0x8000) == 0 ? v : -v;
        }
    }
}
