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

/** Compiles a copy of a class with a fault in it, and loads what is to meet that copy. */
public final class MutantLoader {
  private final Path sources;
  private final String classPath;
  private final List<String> again;

  /**
   * With the sources below a folder and the classes on a path.
   *
   * @param again what has to be loaded anew so that it meets the copy, by how its names begin; all
   *     else is shared
   */
  public MutantLoader(Path sources, String classPath, List<String> again) {
    this.sources = sources;
    this.classPath = classPath;
    this.again = List.copyOf(again);
  }

  /** Those of this program: its sources beside it, the classes that it runs with. */
  public static MutantLoader forThisProgram(List<String> again) {
    return new MutantLoader(
        Path.of(System.getProperty("heathswitch.root", "."), "src", "main", "java"),
        System.getProperty("java.class.path"),
        again);
  }

  /** A class as it is with the copy of another in its place; to be used by reflection. */
  public Class<?> load(Mutant mutant, String type) throws IOException, ClassNotFoundException {
    return new Loader(compile(mutant)).loadClass(type);
  }

  private Map<String, byte[]> compile(Mutant mutant) throws IOException {
    String source = Files.readString(sources.resolve(mutant.type().replace('.', '/') + ".java"));
    int at = source.indexOf(mutant.text());
    if (at < 0 || source.indexOf(mutant.text(), at + 1) >= 0) {
      throw new IllegalStateException("must stand once in " + mutant.type() + ": " + mutant.text());
    }
    String changed = source.replace(mutant.text(), mutant.instead());
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
              URI.create("memory:/" + mutant.type().replace('.', '/') + ".java"),
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
        throw new IllegalStateException("does not compile: " + mutant);
      }
    }
    Map<String, byte[]> done = new HashMap<>();
    classes.forEach((name, bytes) -> done.put(name, bytes.toByteArray()));
    return done;
  }

  /** Loads what is to meet the copy by itself, before its parent. */
  private final class Loader extends ClassLoader {
    private final Map<String, byte[]> changed;

    Loader(Map<String, byte[]> changed) {
      super(MutantLoader.class.getClassLoader());
      this.changed = changed;
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
      if (again.stream().noneMatch(name::startsWith)) {
        return super.loadClass(name, resolve);
      }
      synchronized (getClassLoadingLock(name)) {
        Class<?> loaded = findLoadedClass(name);
        return loaded == null ? define(name) : loaded;
      }
    }

    private Class<?> define(String name) throws ClassNotFoundException {
      byte[] bytes = changed.get(name);
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
