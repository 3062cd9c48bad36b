package org.streamcourse.version.agreement;

import java.util.List;
import org.streamcourse.process.MessageCodec;

/** Encodes voter sets and lists the types of this package that are serialized. */
public final class VoterSetCodec {
  /** Types that are stored or sent. Kryo numbers them by their order in this list. */
  public static final List<Class<?>> TYPES =
      List.of(
          LogEntry.class,
          LogEntry.Kind.class,
          VoterSet.class,
          Snapshot.class,
          QuorumState.class,
          AgreementMessage.VoteRequest.class,
          AgreementMessage.VoteResponse.class,
          AgreementMessage.AppendRequest.class,
          AgreementMessage.AppendResponse.class,
          AgreementMessage.SnapshotRequest.class,
          AgreementMessage.JoinRequest.class);

  private static final MessageCodec CODEC = new MessageCodec(TYPES);

  private VoterSetCodec() {}

  static byte[] encode(VoterSet voters) {
    return CODEC.encode(voters);
  }

  static VoterSet decode(byte[] bytes) {
    return (VoterSet) CODEC.decode(bytes);
  }

  /**
   * Returns the codec for the durable log.
   *
   * @return codec with the types of this package
   */
  public static MessageCodec codec() {
    return CODEC;
  }
}
