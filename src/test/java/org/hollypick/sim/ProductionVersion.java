package org.hollypick.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.zip.ZipEntry;
import java.util.zip.ZipInputStream;
import javax.tools.JavaCompiler;
import javax.tools.ToolProvider;
import org.hollypick.config.Settings;
import org.hollypick.io.Request;
import org.hollypick.io.Response;

/**
 * The version in production, as deploy/service.toml names it: its own classes, built from the repository's history and
 * loaded beside the present ones. What passes between it and the simulated world is only what the network carries.
 */
final class ProductionVersion {
    private static ProductionVersion loaded;

    private final ClassLoader loader;

    private ProductionVersion(ClassLoader loader) {
        this.loader = loader;
    }

    static synchronized ProductionVersion load() throws Exception {
        if (loaded == null) {
            String commit = new TomlMapper()
                    .readTree(Files.readString(Path.of("deploy/service.toml")))
                    .path("production")
                    .asText();
            Path classes = Path.of("target", "production", commit).toAbsolutePath();
            if (!Files.isDirectory(classes.resolve("org"))) {
                compile(sources(commit, classes.resolveSibling(commit + "-sources")), classes);
            }
            loaded = new ProductionVersion(
                    new IsolatedClassLoader(classes.toUri().toURL()));
        }
        return loaded;
    }

    /** Classes of this program come from the given place only, all others from where the tests' own come from. */
    private static final class IsolatedClassLoader extends URLClassLoader {
        private IsolatedClassLoader(URL classes) {
            super(new URL[] {classes}, ProductionVersion.class.getClassLoader());
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!name.startsWith("org.hollypick.")) {
                return super.loadClass(name, resolve);
            }
            synchronized (getClassLoadingLock(name)) {
                Class<?> c = findLoadedClass(name);
                return c != null ? c : findClass(name);
            }
        }
    }

    private static List<Path> sources(String commit, Path into) throws IOException, InterruptedException {
        Process git = new ProcessBuilder("git", "archive", "--format=zip", commit, "src/main/java")
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        byte[] zip = git.getInputStream().readAllBytes();
        if (git.waitFor() != 0) {
            throw new IOException("the repository's history doesn't hold the version in production: " + commit);
        }
        List<Path> files = new ArrayList<>();
        try (ZipInputStream in = new ZipInputStream(new ByteArrayInputStream(zip))) {
            for (ZipEntry e = in.getNextEntry(); e != null; e = in.getNextEntry()) {
                if (e.getName().endsWith(".java")) {
                    Path file = into.resolve(e.getName());
                    Files.createDirectories(file.getParent());
                    Files.write(file, in.readAllBytes());
                    files.add(file);
                }
            }
        }
        return files;
    }

    private static void compile(List<Path> files, Path classes) throws IOException {
        Files.createDirectories(classes);
        List<String> arguments = new ArrayList<>(List.of(
                "-nowarn", "-proc:none", "-d", classes.toString(), "-cp", System.getProperty("java.class.path")));
        files.forEach(f -> arguments.add(f.toString()));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler.run(null, null, null, arguments.toArray(new String[0])) != 0) {
            throw new IOException("the version in production doesn't compile");
        }
    }

    /** A controller of that version. */
    ControllerProcess newController(SimulatedWorld.Process process, Settings settings) {
        try {
            Class<?> runtime = loader.loadClass("org.hollypick.io.Runtime");
            Object bridge = Proxy.newProxyInstance(
                    loader, new Class<?>[] {runtime}, (proxy, method, args) -> switch (method.getName()) {
                        case "now" -> process.now();
                        case "after" -> {
                            process.after((Long) args[0], (Runnable) args[1]);
                            yield null;
                        }
                        case "call" -> {
                            call(process, args[0], args[1]);
                            yield null;
                        }
                        default -> throw new UnsupportedOperationException(method.getName());
                    });
            Class<?> operator = loader.loadClass("org.hollypick.config.OperatorSettings");
            Object defaults = operator.getMethod("defaults").invoke(null);
            Object node = loader.loadClass("org.hollypick.Node")
                    .getConstructor(runtime, loader.loadClass("org.hollypick.config.Settings"), operator)
                    .newInstance(bridge, convert(settings), defaults);
            return new ControllerAdapter(node);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("the version in production has another shape", e);
        }
    }

    private static Object invokeAccessor(Object of, String name) throws ReflectiveOperationException {
        Method m = of.getClass().getMethod(name);
        return m.invoke(of);
    }

    @SuppressWarnings("unchecked")
    private void call(SimulatedWorld.Process process, Object call, Object reply) throws ReflectiveOperationException {
        Constructor<?> replies = loader.loadClass("org.hollypick.io.Reply").getConstructor(int.class, JsonNode.class);
        Request sent = new Request(
                (String) invokeAccessor(call, "address"),
                (String) invokeAccessor(call, "method"),
                (String) invokeAccessor(call, "path"),
                (JsonNode) invokeAccessor(call, "body"),
                (Long) invokeAccessor(call, "timeoutMs"),
                (Boolean) invokeAccessor(call, "mesh"));
        process.send(sent, r -> {
            try {
                ((Consumer<Object>) reply).accept(replies.newInstance(r.status(), r.body()));
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /** Records of the present version with the same fields there. */
    private Object convert(Object value) throws ReflectiveOperationException {
        if (value instanceof List<?> list) {
            List<Object> converted = new ArrayList<>();
            for (Object o : list) {
                converted.add(convert(o));
            }
            return converted;
        }
        if (value instanceof Map<?, ?> map) {
            Map<Object, Object> converted = new LinkedHashMap<>();
            for (Map.Entry<?, ?> e : map.entrySet()) {
                converted.put(e.getKey(), convert(e.getValue()));
            }
            return converted;
        }
        if (!(value instanceof Record)) {
            return value;
        }
        Class<?> there = loader.loadClass(value.getClass().getName());
        List<Object> fields = new ArrayList<>();
        for (var component : there.getRecordComponents()) {
            fields.add(convert(value.getClass().getMethod(component.getName()).invoke(value)));
        }
        return there.getConstructors()[0].newInstance(fields.toArray());
    }

    private static final class ControllerAdapter implements ControllerProcess {
        private final Object node;
        private final Method start;
        private final Method handle;
        private final Method handleMesh;

        private ControllerAdapter(Object node) throws ReflectiveOperationException {
            this.node = node;
            start = node.getClass().getMethod("start");
            handle = node.getClass().getMethod("handle", String.class, String.class, byte[].class, Consumer.class);
            handleMesh =
                    node.getClass().getMethod("handleMesh", String.class, String.class, byte[].class, Consumer.class);
        }

        private Object invoke(Method method, Object... args) {
            try {
                return method.invoke(node, args);
            } catch (InvocationTargetException e) {
                throw new IllegalStateException(e.getCause());
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }

        private static Consumer<Object> answer(Consumer<Supplier<Response>> reply) {
            return a -> {
                try {
                    Response r =
                            new Response((Integer) invokeAccessor(a, "status"), (JsonNode) invokeAccessor(a, "body"));
                    reply.accept(() -> r);
                } catch (ReflectiveOperationException e) {
                    throw new IllegalStateException(e);
                }
            };
        }

        @Override
        public void start() {
            invoke(start);
        }

        @Override
        public void handle(String method, String path, byte[] body, Consumer<Supplier<Response>> reply) {
            invoke(handle, method, path, body, answer(reply));
        }

        @Override
        public void handlePeerRequest(String method, String path, byte[] body, Consumer<Supplier<Response>> reply) {
            invoke(handleMesh, method, path, body, answer(reply));
        }
    }
}
