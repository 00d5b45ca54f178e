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
 * The version in production, as named in deploy/service.toml: its classes are compiled from the repository's history
 * and loaded next to the current ones by a class loader of their own. Its controllers exchange only requests, responses
 * and timers with the simulation, through reflection.
 */
final class ProductionVersion {
    private static ProductionVersion loaded;

    private final ClassLoader loader;

    private ProductionVersion(ClassLoader loader) {
        this.loader = loader;
    }

    /** Returns the version in production, which is compiled unless an earlier run did, and loaded only once. */
    static synchronized ProductionVersion load() throws Exception {
        if (loaded == null) {
            String commit = new TomlMapper()
                    .readTree(Files.readString(Path.of("deploy/service.toml")))
                    .path("production")
                    .asText();
            Path classes = Path.of("target", "production", commit).toAbsolutePath();
            if (!Files.isDirectory(classes.resolve("org"))) {
                compile(extractSources(commit, classes.resolveSibling(commit + "-sources")), classes);
            }
            loaded = new ProductionVersion(
                    new IsolatedClassLoader(classes.toUri().toURL()));
        }
        return loaded;
    }

    /** Loads this program's classes only from the given location, and all others with the tests' class loader. */
    private static final class IsolatedClassLoader extends URLClassLoader {
        private IsolatedClassLoader(URL location) {
            super(new URL[] {location}, ProductionVersion.class.getClassLoader());
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!name.startsWith("org.hollypick.")) {
                return super.loadClass(name, resolve);
            }
            synchronized (getClassLoadingLock(name)) {
                Class<?> loadedClass = findLoadedClass(name);
                return loadedClass != null ? loadedClass : findClass(name);
            }
        }
    }

    /** Extracts the Java sources of a commit into a directory and returns their paths. */
    private static List<Path> extractSources(String commit, Path into) throws IOException, InterruptedException {
        Process git = new ProcessBuilder("git", "archive", "--format=zip", commit, "src/main/java")
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        byte[] zip = git.getInputStream().readAllBytes();
        if (git.waitFor() != 0) {
            throw new IOException("git archive failed for commit " + commit
                    + ", the version in production: the repository's history may be incomplete");
        }
        List<Path> files = new ArrayList<>();
        try (ZipInputStream in = new ZipInputStream(new ByteArrayInputStream(zip))) {
            for (ZipEntry entry = in.getNextEntry(); entry != null; entry = in.getNextEntry()) {
                if (entry.getName().endsWith(".java")) {
                    Path file = into.resolve(entry.getName());
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
        files.forEach(file -> arguments.add(file.toString()));
        JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
        if (compiler.run(null, null, null, arguments.toArray(new String[0])) != 0) {
            throw new IOException("the version in production doesn't compile into " + classes);
        }
    }

    /** Creates a controller of the version in production that runs in a simulated process. */
    ControllerProcess newController(SimulatedWorld.Process process, Settings settings) {
        try {
            Class<?> runtime = loader.loadClass("org.hollypick.io.Runtime");
            Object runtimeAdapter = Proxy.newProxyInstance(
                    loader, new Class<?>[] {runtime}, (proxy, method, args) -> switch (method.getName()) {
                        case "now" -> process.now();
                        case "after" -> {
                            process.after((Long) args[0], (Runnable) args[1]);
                            yield null;
                        }
                        case "call" -> {
                            send(process, args[0], args[1]);
                            yield null;
                        }
                        default -> throw new UnsupportedOperationException(method.getName());
                    });
            Class<?> operator = loader.loadClass("org.hollypick.config.OperatorSettings");
            Object defaults = operator.getMethod("defaults").invoke(null);
            Object controller = loader.loadClass("org.hollypick.Node")
                    .getConstructor(runtime, loader.loadClass("org.hollypick.config.Settings"), operator)
                    .newInstance(runtimeAdapter, convert(settings), defaults);
            return new ControllerAdapter(controller);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("cannot create a controller of the version in production by reflection", e);
        }
    }

    private static Object invokeAccessor(Object target, String name) throws ReflectiveOperationException {
        Method accessor = target.getClass().getMethod(name);
        return accessor.invoke(target);
    }

    /** Sends a request of the version in production and passes the response to its callback. */
    @SuppressWarnings("unchecked")
    private void send(SimulatedWorld.Process process, Object call, Object callback)
            throws ReflectiveOperationException {
        Constructor<?> replyConstructor =
                loader.loadClass("org.hollypick.io.Reply").getConstructor(int.class, JsonNode.class);
        Request request = new Request(
                (String) invokeAccessor(call, "address"),
                (String) invokeAccessor(call, "method"),
                (String) invokeAccessor(call, "path"),
                (JsonNode) invokeAccessor(call, "body"),
                (Long) invokeAccessor(call, "timeoutMs"),
                (Boolean) invokeAccessor(call, "mesh"));
        process.send(request, response -> {
            try {
                ((Consumer<Object>) callback).accept(replyConstructor.newInstance(response.status(), response.body()));
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        });
    }

    /**
     * Converts settings to the types of the version in production: each record becomes the record of the same name
     * there, with the values of the components that exist there.
     */
    private Object convert(Object value) throws ReflectiveOperationException {
        if (value instanceof List<?> list) {
            List<Object> converted = new ArrayList<>();
            for (Object element : list) {
                converted.add(convert(element));
            }
            return converted;
        }
        if (value instanceof Map<?, ?> map) {
            Map<Object, Object> converted = new LinkedHashMap<>();
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                converted.put(entry.getKey(), convert(entry.getValue()));
            }
            return converted;
        }
        if (!(value instanceof Record)) {
            return value;
        }
        Class<?> target = loader.loadClass(value.getClass().getName());
        List<Object> components = new ArrayList<>();
        for (var component : target.getRecordComponents()) {
            components.add(
                    convert(value.getClass().getMethod(component.getName()).invoke(value)));
        }
        return target.getConstructors()[0].newInstance(components.toArray());
    }

    /** Calls a controller of the version in production by reflection. */
    private static final class ControllerAdapter implements ControllerProcess {
        private final Object controller;
        private final Method start;
        private final Method handle;
        private final Method handleMesh;

        private ControllerAdapter(Object controller) throws ReflectiveOperationException {
            this.controller = controller;
            start = controller.getClass().getMethod("start");
            handle =
                    controller.getClass().getMethod("handle", String.class, String.class, byte[].class, Consumer.class);
            handleMesh = controller
                    .getClass()
                    .getMethod("handleMesh", String.class, String.class, byte[].class, Consumer.class);
        }

        private Object invoke(Method method, Object... args) {
            try {
                return method.invoke(controller, args);
            } catch (InvocationTargetException e) {
                throw new IllegalStateException(e.getCause());
            } catch (ReflectiveOperationException e) {
                throw new IllegalStateException(e);
            }
        }

        /** A consumer of the other version's replies that passes them on as responses. */
        private static Consumer<Object> convertReply(Consumer<Supplier<Response>> callback) {
            return reply -> {
                try {
                    Response response = new Response(
                            (Integer) invokeAccessor(reply, "status"), (JsonNode) invokeAccessor(reply, "body"));
                    callback.accept(() -> response);
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
            invoke(handle, method, path, body, convertReply(reply));
        }

        @Override
        public void handlePeerRequest(String method, String path, byte[] body, Consumer<Supplier<Response>> reply) {
            invoke(handleMesh, method, path, body, convertReply(reply));
        }
    }
}
