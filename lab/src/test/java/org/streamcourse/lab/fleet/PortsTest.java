package org.streamcourse.lab.fleet;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Method;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.streamcourse.process.settings.HostPort;
import org.testng.annotations.Test;

/** Lab processes that run at the same time allocate different ports. */
public class PortsTest {
  private static final int PORTS_PER_FLEET = 250;

  /** Loads a second copy of {@link Ports} with its own static fields, as in another process. */
  private static final class OtherLab extends ClassLoader {
    private static final String COPIED = Ports.class.getName();

    OtherLab() {
      super(Ports.class.getClassLoader());
    }

    @Override
    protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
      if (!name.equals(COPIED)) {
        return super.loadClass(name, resolve);
      }
      Class<?> loaded = findLoadedClass(name);
      return loaded == null ? copy(name) : loaded;
    }

    private Class<?> copy(String name) throws ClassNotFoundException {
      try (InputStream in = getResourceAsStream(name.replace('.', '/') + ".class")) {
        byte[] bytes = in.readAllBytes();
        return defineClass(name, bytes, 0, bytes.length);
      } catch (IOException e) {
        throw new ClassNotFoundException(name, e);
      }
    }
  }

  /**
   * Guards against two labs that get the same port. Both start at the same block, as two processes
   * do whose ids differ by a multiple of the number of blocks, and no process listens on the
   * allocated ports yet.
   */
  @Test
  public void concurrentLabsAllocateDifferentPorts() throws Exception {
    List<HostPort> allocated = new ArrayList<>();
    List<AutoCloseable> labs = new ArrayList<>();
    try {
      for (int lab = 0; lab < 2; lab++) {
        Class<?> ports = new OtherLab().loadClass(Ports.class.getName());
        Object opened = ports.getConstructor().newInstance();
        labs.add((AutoCloseable) opened);
        allocate(opened, ports.getMethod("next"), allocated);
      }
    } finally {
      for (AutoCloseable lab : labs) {
        lab.close();
      }
    }
    Set<HostPort> distinct = new HashSet<>(allocated);
    assertEquals(distinct.size(), allocated.size(), "ports of two labs: " + allocated);
  }

  private static void allocate(Object ports, Method next, List<HostPort> allocated)
      throws Exception {
    for (int i = 0; i < PORTS_PER_FLEET; i++) {
      allocated.add((HostPort) next.invoke(ports));
    }
  }
}
