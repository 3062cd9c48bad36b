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

/** Labs that run at the same time choose different ports. */
public class PortsTest {
  private static final int PORTS_OF_A_FLEET = 250;

  /** Classes of its own have statics of their own, as another process has. */
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
   * Both labs begin at the same block, as two processes do whose ids differ by a multiple of the
   * number of blocks. Nothing listens at the ports yet, as before the processes have started.
   */
  @Test
  public void labsThatChooseAtTheSameTimeShareNoPort() throws Exception {
    List<HostPort> chosen = new ArrayList<>();
    List<AutoCloseable> labs = new ArrayList<>();
    try {
      for (int lab = 0; lab < 2; lab++) {
        Class<?> ports = new OtherLab().loadClass(Ports.class.getName());
        Object opened = ports.getConstructor().newInstance();
        labs.add((AutoCloseable) opened);
        choose(opened, ports.getMethod("next"), chosen);
      }
    } finally {
      for (AutoCloseable lab : labs) {
        lab.close();
      }
    }
    Set<HostPort> distinct = new HashSet<>(chosen);
    assertEquals(distinct.size(), chosen.size(), "ports of two labs: " + chosen);
  }

  private static void choose(Object ports, Method next, List<HostPort> chosen) throws Exception {
    for (int i = 0; i < PORTS_OF_A_FLEET; i++) {
      chosen.add((HostPort) next.invoke(ports));
    }
  }
}
