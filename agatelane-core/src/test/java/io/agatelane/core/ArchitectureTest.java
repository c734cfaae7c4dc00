package io.agatelane.core;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Guards against dependencies that would make the core hard to embed or its decisions not repeatable. */
public final class ArchitectureTest {
    private static final Path SOURCES = Path.of("src", "main", "java");
    private static final Pattern IMPORT = Pattern.compile("^import (?:static )?([a-z0-9.]+)\\.", Pattern.MULTILINE);
    private static final Pattern PACKAGE = Pattern.compile("^package ([a-z0-9.]+);", Pattern.MULTILINE);
    private static final Pattern SIDE_EFFECT = Pattern.compile("System\\.(nanoTime|currentTimeMillis)|Instant\\.now"
            + "|Math\\.random|new Random\\(|ThreadLocalRandom|new Thread\\(|Thread\\.sleep|System\\.out");
    private static final List<String> ALLOWED_IMPORTS = List.of(
            "io.agatelane.core", "java.util", "java.nio.charset", "com.dynatrace.hash4j", "org.apache.commons.rng");

    @Test
    public void coreImportsNoIoClockOrFrameworks() {
        List<String> violations = new ArrayList<>();
        forEachSource((name, text) -> {
            Matcher matcher = IMPORT.matcher(text);
            while (matcher.find()) {
                String imported = matcher.group(1);
                if (ALLOWED_IMPORTS.stream().noneMatch(imported::startsWith)) {
                    violations.add(name + " imports " + imported);
                }
            }
        });
        assertEquals(violations, List.of());
    }

    @Test
    public void coreReadsNoClockAndNoUnseededRandomSource() {
        List<String> violations = new ArrayList<>();
        forEachSource((name, text) -> {
            Matcher matcher = SIDE_EFFECT.matcher(text);
            while (matcher.find()) {
                violations.add(name + " uses " + matcher.group());
            }
        });
        assertEquals(violations, List.of());
    }

    @Test
    public void packagesOfCoreHaveNoCycles() {
        Map<String, Set<String>> dependencies = packageDependencies();
        assertTrue(dependencies.size() > 1, "no packages found below " + SOURCES.toAbsolutePath());
        for (String start : dependencies.keySet()) {
            Set<String> reached = new HashSet<>();
            dependencies.get(start).forEach(next -> collect(next, dependencies, reached));
            assertTrue(!reached.contains(start), "package cycle through " + start + ": " + reached);
        }
    }

    @Test
    public void queriesDoNotDependOnCommands() {
        List<String> violations = new ArrayList<>();
        packageDependencies().forEach((from, targets) -> targets.stream()
                .filter(target -> from.endsWith(".query") && target.endsWith(".command"))
                .forEach(target -> violations.add(from + " uses " + target)));
        assertEquals(violations, List.of());
    }

    private static Map<String, Set<String>> packageDependencies() {
        Map<String, Set<String>> dependencies = new TreeMap<>();
        forEachSource((name, text) -> {
            Matcher own = PACKAGE.matcher(text);
            if (!own.find()) {
                return;
            }
            Set<String> targets = dependencies.computeIfAbsent(own.group(1), key -> new TreeSet<>());
            Matcher matcher = IMPORT.matcher(text);
            while (matcher.find()) {
                String imported = matcher.group(1);
                if (imported.startsWith("io.agatelane.core") && !imported.equals(own.group(1))) {
                    targets.add(imported);
                }
            }
        });
        return dependencies;
    }

    private static void collect(String name, Map<String, Set<String>> dependencies, Set<String> reached) {
        if (reached.add(name)) {
            dependencies.getOrDefault(name, Set.of()).forEach(next -> collect(next, dependencies, reached));
        }
    }

    private static void forEachSource(SourceVisitor visitor) {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            for (Path file : files.filter(path -> path.toString().endsWith(".java"))
                    .sorted()
                    .toList()) {
                visitor.visit(SOURCES.relativize(file).toString(), Files.readString(file));
            }
        } catch (IOException e) {
            throw new IllegalStateException("failed to read the source files of the core", e);
        }
    }

    private interface SourceVisitor {
        void visit(String name, String text);
    }
}
