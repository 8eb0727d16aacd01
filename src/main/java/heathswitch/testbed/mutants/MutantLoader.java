package heathswitch.testbed.mutants;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.tools.FileObject;
import javax.tools.ForwardingJavaFileManager;
import javax.tools.JavaCompiler;
import javax.tools.JavaFileManager;
import javax.tools.JavaFileObject;
import javax.tools.SimpleJavaFileObject;
import javax.tools.StandardJavaFileManager;
import javax.tools.ToolProvider;

/** Compiles mutants in memory and loads them together with the classes that use them. */
public final class MutantLoader {
  private final Path sources;
  private final String classPath;
  private final List<String> reloadedPrefixes;

  /**
   * Creates a loader for the sources below a folder and the classes on a class path.
   *
   * @param reloadedPrefixes prefixes of the names of classes that are loaded again for each mutant,
   *     so that they use it; all other classes are shared
   */
  public MutantLoader(Path sources, String classPath, List<String> reloadedPrefixes) {
    this.sources = sources;
    this.classPath = classPath;
    this.reloadedPrefixes = List.copyOf(reloadedPrefixes);
  }

  /** A loader for the sources and the class path of this program. */
  public static MutantLoader forThisProgram(List<String> reloadedPrefixes) {
    return new MutantLoader(
        Path.of(System.getProperty("heathswitch.root", "."), "src", "main", "java"),
        System.getProperty("java.class.path"),
        reloadedPrefixes);
  }

  /** Loads a class that uses the mutant; its members are accessible by reflection only. */
  public Class<?> load(Mutant mutant, String className) throws IOException, ClassNotFoundException {
    return new Loader(compile(mutant)).loadClass(className);
  }

  private Map<String, byte[]> compile(Mutant mutant) throws IOException {
    String source =
        Files.readString(sources.resolve(mutant.className().replace('.', '/') + ".java"));
    int position = source.indexOf(mutant.original());
    if (position < 0 || source.indexOf(mutant.original(), position + 1) >= 0) {
      throw new IllegalStateException(
          "must occur exactly once in " + mutant.className() + ": " + mutant.original());
    }
    String changed = source.replace(mutant.original(), mutant.replacement());
    JavaCompiler compiler = ToolProvider.getSystemJavaCompiler();
    Map<String, ByteArrayOutputStream> classes = new HashMap<>();
    try (StandardJavaFileManager standard = compiler.getStandardFileManager(null, null, null)) {
      JavaFileManager memory =
          new ForwardingJavaFileManager<JavaFileManager>(standard) {
            @Override
            public JavaFileObject getJavaFileForOutput(
                Location location, String name, JavaFileObject.Kind kind, FileObject sibling) {
              return new SimpleJavaFileObject(URI.create("memory:/" + name), kind) {
                @Override
                public OutputStream openOutputStream() {
                  ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                  classes.put(name, bytes);
                  return bytes;
                }
              };
            }
          };
      JavaFileObject file =
          new SimpleJavaFileObject(
              URI.create("memory:/" + mutant.className().replace('.', '/') + ".java"),
              JavaFileObject.Kind.SOURCE) {
            @Override
            public CharSequence getCharContent(boolean ignoreErrors) {
              return changed;
            }
          };
      boolean compiled =
          compiler
              .getTask(
                  null, memory, null, List.of("-cp", classPath, "-proc:none"), null, List.of(file))
              .call();
      if (!compiled) {
        throw new IllegalStateException("mutant does not compile: " + mutant);
      }
    }
    Map<String, byte[]> compiledClasses = new HashMap<>();
    classes.forEach((name, bytes) -> compiledClasses.put(name, bytes.toByteArray()));
    return compiledClasses;
  }

  /** Defines the reloaded classes itself instead of asking its parent first. */
  private final class Loader extends ClassLoader {
    private final Map<String, byte[]> mutantClasses;

    Loader(Map<String, byte[]> mutantClasses) {
      super(MutantLoader.class.getClassLoader());
      this.mutantClasses = mutantClasses;
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
      if (reloadedPrefixes.stream().noneMatch(name::startsWith)) {
        return super.loadClass(name, resolve);
      }
      synchronized (getClassLoadingLock(name)) {
        Class<?> loaded = findLoadedClass(name);
        return loaded == null ? define(name) : loaded;
      }
    }

    private Class<?> define(String name) throws ClassNotFoundException {
      byte[] bytes = mutantClasses.get(name);
      if (bytes == null) {
        try (InputStream in = getParent().getResourceAsStream(name.replace('.', '/') + ".class")) {
          if (in == null) {
            throw new ClassNotFoundException(name);
          }
          bytes = in.readAllBytes();
        } catch (IOException e) {
          throw new ClassNotFoundException(name, e);
        }
      }
      return defineClass(name, bytes, 0, bytes.length);
    }
  }
}
