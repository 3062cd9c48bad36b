package org.streamcourse.lab.simulation;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.stream.LongStream;
import org.streamcourse.version.control.ControlMessage.HeartbeatReply;
import org.streamcourse.version.control.ControlMessage.ImagePush;
import org.streamcourse.version.control.ServiceCall;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterDelta;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.RoutingDocument;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Checks that the checker detects the violation of an invariant of routing documents whose
 * safeguard is removed.
 */
public class DocumentUnsafeVariantTest {
  private static final long SEEDS = 10;

  /** A disk that syncs an append only with the next one. */
  private static final class ForgetfulDisk extends SimDisk {
    private String unsyncedFile;
    private byte[] unsynced;

    private void sync() {
      if (unsyncedFile != null) {
        super.appendAndSync(unsyncedFile, unsynced);
        unsyncedFile = null;
      }
    }

    @Override
    public void appendAndSync(String name, byte[] bytes) {
      sync();
      unsyncedFile = name;
      unsynced = bytes.clone();
    }

    @Override
    public byte[] read(String name) {
      sync();
      return super.read(name);
    }

    @Override
    public void replace(String name, byte[] bytes) {
      sync();
      super.replace(name, bytes);
    }

    @Override
    public void delete(String name) {
      sync();
      super.delete(name);
    }

    @Override
    public List<String> list() {
      sync();
      return super.list();
    }

    @Override
    void losePower() {
      unsyncedFile = null;
      super.losePower();
    }
  }

  private static final class ForgetfulDisks extends SimHooks {
    @Override
    SimDisk newDisk() {
      return new ForgetfulDisk();
    }
  }

  /** Changes the documents that one proxy receives. */
  private abstract static class ChangedDocuments extends SimHooks {
    abstract RoutingDocument change(RoutingDocument document);

    @Override
    Object transmit(String from, String to, Object message) {
      if (!to.equals("p2")) {
        return message;
      }
      if (message instanceof ImagePush push) {
        return new ImagePush(changed(push.delta()));
      }
      if (message instanceof HeartbeatReply reply && reply.delta() != null) {
        return new HeartbeatReply(
            reply.sequence(), changed(reply.delta()), reply.image(), reply.reportAll());
      }
      return message;
    }

    private ClusterDelta changed(ClusterDelta delta) {
      List<ClusterChange> changes = new ArrayList<>();
      for (ClusterChange each : delta.changes()) {
        boolean whole = each instanceof ClusterChange.DocumentReplaced;
        changes.add(
            whole
                ? new ClusterChange.DocumentReplaced(
                    change(((ClusterChange.DocumentReplaced) each).document()))
                : each);
      }
      return new ClusterDelta(delta.fromVersion(), changes);
    }
  }

  /** A proxy that takes an image with the first of all documents in place of a newer one. */
  private static final class FormerImage extends SimHooks {
    private static final int REPLIES_BEFORE = 50;
    private final AtomicReference<RoutingDocument> first;
    private int replies;

    FormerImage(AtomicReference<RoutingDocument> first) {
      this.first = first;
    }

    @Override
    Object transmit(String from, String to, Object message) {
      if (!to.equals("p2") || !(message instanceof HeartbeatReply)) {
        return message;
      }
      replies++;
      HeartbeatReply reply = (HeartbeatReply) message;
      return replies < REPLIES_BEFORE
          ? reply
          : new HeartbeatReply(reply.sequence(), null, image(), reply.reportAll());
    }

    private ClusterImage image() {
      return new ClusterImage(
          Long.MAX_VALUE, 0, new TreeMap<>(), new TreeMap<>(), first.get(), new TreeMap<>());
    }
  }

  private static final class FormerImages extends ServiceWorld {
    private final AtomicReference<RoutingDocument> first;

    FormerImages(long seed) {
      this(seed, new AtomicReference<>());
    }

    private FormerImages(long seed, AtomicReference<RoutingDocument> first) {
      super(seed, ServiceSize.DEFAULT, new FormerImage(first));
      this.first = first;
    }

    @Override
    void call(
        String from, String controller, ServiceCall call, Consumer<ServiceCall.Result> answer) {
      if (call instanceof ServiceCall.ReplaceDocument replace) {
        first.compareAndSet(null, replace.document());
      }
      super.call(from, controller, call, answer);
    }
  }

  /** A proxy that takes a document without its routes. */
  private static final class UnknownDocuments extends ChangedDocuments {
    @Override
    RoutingDocument change(RoutingDocument document) {
      return new RoutingDocument(
          document.version(),
          List.of(),
          document.services(),
          document.limits(),
          document.tenants(),
          document.source());
    }
  }

  /** A proxy that receives confirmations without changes, once it has its first image. */
  private static final class MissedChanges extends SimHooks {
    @Override
    Object transmit(String from, String to, Object message) {
      if (to.equals("p2") && message instanceof ImagePush push) {
        return new ImagePush(new ClusterDelta(push.delta().fromVersion(), List.of()));
      }
      if (to.equals("p2") && message instanceof HeartbeatReply reply) {
        return new HeartbeatReply(reply.sequence(), null, reply.image(), reply.reportAll());
      }
      return message;
    }
  }

  /** Controllers that take the other of two contents of one version at one proxy. */
  private static final class OtherContents extends ServiceWorld {
    private final Map<Long, List<RoutingDocument>> contents;

    OtherContents(long seed) {
      this(seed, new HashMap<>());
    }

    private OtherContents(long seed, Map<Long, List<RoutingDocument>> contents) {
      super(
          seed,
          ServiceSize.DEFAULT,
          new ChangedDocuments() {
            @Override
            RoutingDocument change(RoutingDocument document) {
              return contents.getOrDefault(document.version(), List.of()).stream()
                  .map(RoutingDocument::withoutSource)
                  .filter(each -> !each.equals(document))
                  .findFirst()
                  .orElse(document);
            }
          });
      this.contents = contents;
    }

    @Override
    void call(
        String from, String controller, ServiceCall call, Consumer<ServiceCall.Result> answer) {
      if (call instanceof ServiceCall.ReplaceDocument replace) {
        RoutingDocument document = replace.document();
        contents.computeIfAbsent(document.version(), any -> new ArrayList<>()).add(document);
      }
      super.call(from, controller, call, answer);
    }
  }

  /** A world whose operators receive another answer than the controllers sent. */
  private static final class ChangedAnswers extends ServiceWorld {
    private final ServiceCall.Status from;
    private final ServiceCall.Result to;

    ChangedAnswers(long seed, ServiceCall.Status from, ServiceCall.Result to) {
      super(seed);
      this.from = from;
      this.to = to;
    }

    @Override
    void call(
        String sender, String controller, ServiceCall call, Consumer<ServiceCall.Result> answer) {
      boolean operator = !(call instanceof ServiceCall.MemberHeartbeat);
      super.call(
          sender,
          controller,
          call,
          result -> answer.accept(operator && result.status() == from ? to : result));
    }
  }

  private static LongFunction<ServiceWorld> withHooks(LongFunction<SimHooks> hooks) {
    return seed -> new ServiceWorld(seed, ServiceSize.DEFAULT, hooks.apply(seed));
  }

  private static LongFunction<ServiceWorld> withAnswers(
      ServiceCall.Status from, ServiceCall.Result to) {
    return seed -> new ChangedAnswers(seed, from, to);
  }

  @DataProvider
  public Object[][] variants() {
    LongFunction<ServiceWorld> forgetful = withHooks(any -> new ForgetfulDisks());
    LongFunction<ServiceWorld> former = FormerImages::new;
    LongFunction<ServiceWorld> unknown = withHooks(any -> new UnknownDocuments());
    LongFunction<ServiceWorld> missed = withHooks(any -> new MissedChanges());
    LongFunction<ServiceWorld> contents = OtherContents::new;
    ServiceCall.Result refused = new ServiceCall.Result(ServiceCall.Status.REFUSED, "");
    return new Object[][] {
      {"document-read-is-newest", ServiceScenario.POWER_LOST, forgetful},
      {"document-never-goes-back", ServiceScenario.DOCUMENTS_INVALID, former},
      {"document-in-force-was-sent", ServiceScenario.DOCUMENTS_INVALID, unknown},
      {"document-in-force", ServiceScenario.DOCUMENTS_INVALID, missed},
      {"database-is-as-documented", ServiceScenario.DOCUMENTS_INVALID, missed},
      {"version-has-one-content", ServiceScenario.DOCUMENTS_RACE, contents},
      {
        "invalid-document-is-refused",
        ServiceScenario.DOCUMENTS_INVALID,
        withAnswers(ServiceCall.Status.REFUSED, ServiceCall.Result.DONE)
      },
      {
        "valid-document-is-taken",
        ServiceScenario.DOCUMENTS_INVALID,
        withAnswers(ServiceCall.Status.DONE, refused)
      },
      {
        "document-is-read-back",
        ServiceScenario.POWER_LOST,
        withAnswers(ServiceCall.Status.DONE, ServiceCall.Result.unavailable(""))
      },
      {
        "document-read-was-sent",
        ServiceScenario.DOCUMENTS_INVALID,
        withAnswers(ServiceCall.Status.DONE, ServiceCall.Result.DONE)
      }
    };
  }

  @Test(dataProvider = "variants")
  public void checkerDetectsTheMissingSafeguard(
      String invariant, ServiceScenario scenario, LongFunction<ServiceWorld> variant) {
    boolean seen =
        LongStream.rangeClosed(1, SEEDS)
            .anyMatch(
                seed -> {
                  ServiceWorld world = variant.apply(seed);
                  world.run(scenario::start);
                  return world.checks().violations().stream()
                      .anyMatch(text -> text.contains(' ' + invariant + ':'));
                });
    assertTrue(seen, invariant + " was not violated without its safeguard in " + scenario.label());
  }
}
