package org.streamcourse.version.control;

import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.process.MemoryLimits;
import org.streamcourse.process.MessageCodec;
import org.streamcourse.version.agreement.StateMachine;
import org.streamcourse.version.control.ControlMessage.CommandOutcome;
import org.streamcourse.version.control.ControlMessage.CommandStatus;
import org.streamcourse.version.control.ControlMessage.LoggedCommand;
import org.streamcourse.version.image.ChangeValidator;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterChange.ConfigurationChange;
import org.streamcourse.version.image.ClusterDelta;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.QuotaGrant;

/**
 * Applies logged commands to the cluster image.
 *
 * <p>A command whose id was applied before has no effect and gets the first outcome. A command
 * whose expected version is not the current one is refused, so of two commands with the same
 * expected version exactly one is accepted.
 */
public final class ControllerStateMachine implements StateMachine {
  private static final Logger LOG = LoggerFactory.getLogger(ControllerStateMachine.class);

  /** Receives applied commands and changes of leadership. */
  public interface Listener {
    /**
     * A command was applied.
     *
     * @param command the command
     * @param outcome how it ended
     */
    void applied(LoggedCommand command, CommandOutcome outcome);

    /**
     * Leadership began or ended.
     *
     * @param leads true when this controller became the leader
     * @param term agreement term, 0 when the leadership ended
     */
    void leadershipChanged(boolean leads, long term);

    /** Proposed commands could not be stored. */
    default void proposalsFailed() {}
  }

  /**
   * Snapshot form of the state.
   *
   * @param image cluster image
   * @param commandIds ids of the commands whose outcomes are kept, oldest first
   * @param outcomes outcomes of these commands
   * @param quotas shares of tenants' limits
   */
  public record StoredState(
      ClusterImage image,
      List<String> commandIds,
      List<CommandOutcome> outcomes,
      QuotaTable.Stored quotas) {}

  private final MessageCodec codec;
  private final CommandOutcomes outcomes = new CommandOutcomes();
  private final RecentChanges recentChanges;
  private final QuotaTable quotas = new QuotaTable();
  private List<QuotaGrant> newGrants = List.of();
  private ClusterImage image = ClusterImage.EMPTY;
  private Listener listener =
      new Listener() {
        @Override
        public void applied(LoggedCommand command, CommandOutcome outcome) {}

        @Override
        public void leadershipChanged(boolean leads, long term) {}
      };

  /**
   * Creates an empty state.
   *
   * @param codec codec that knows the control messages
   * @param limits limits of what is kept in memory
   */
  public ControllerStateMachine(MessageCodec codec, MemoryLimits limits) {
    this.codec = codec;
    this.recentChanges = new RecentChanges(limits.recentChangesBytes());
  }

  /**
   * Sets the listener for applied commands and changes of leadership.
   *
   * @param listener the listener
   */
  public void setListener(Listener listener) {
    this.listener = listener;
  }

  /**
   * Returns the image at the last applied command.
   *
   * @return current image
   */
  public ClusterImage image() {
    return image;
  }

  /** Returns the shares of tenants' limits at the last applied command. */
  QuotaTable quotas() {
    return quotas;
  }

  /** Returns the shares changed by the command that was applied last. */
  List<QuotaGrant> newGrants() {
    return newGrants;
  }

  /**
   * Finds the outcome of an earlier command.
   *
   * @param commandId command's id
   * @return outcome, if it is still kept
   */
  public Optional<CommandOutcome> outcome(String commandId) {
    return outcomes.find(commandId);
  }

  /**
   * Returns the changes since a version.
   *
   * @param version version that the delta starts from
   * @return delta, or empty when the changes are no longer kept
   */
  public Optional<ClusterDelta> deltaSince(long version) {
    return recentChanges.since(version, image.version());
  }

  /**
   * Returns the memory that the changes kept for {@link #deltaSince} take.
   *
   * @return upper estimate in bytes
   */
  public long recentChangesBytes() {
    return recentChanges.bytes();
  }

  @Override
  public void apply(long index, byte[] command) {
    LoggedCommand logged = (LoggedCommand) codec.decode(command);
    CommandOutcome known = outcomes.find(logged.commandId()).orElse(null);
    CommandOutcome outcome = known == null ? decide(logged) : known;
    if (logged.change() instanceof ClusterChange.QuotaGranted granted) {
      newGrants = quotas.apply(granted);
    } else if (known == null && outcome.status() == CommandStatus.ACCEPTED) {
      image = image.apply(logged.change());
      recentChanges.add(logged.change(), command.length);
    }
    if (known == null && !logged.commandId().isEmpty()) {
      outcomes.add(logged.commandId(), outcome);
    }
    notifyListener(logged, outcome);
  }

  /** The command is applied whatever the listener does, so its failure must not be passed on. */
  private void notifyListener(LoggedCommand command, CommandOutcome outcome) {
    try {
      listener.applied(command, outcome);
    } catch (RuntimeException e) {
      LOG.error("a task after command '{}' failed", command.commandId(), e);
    }
  }

  private CommandOutcome decide(LoggedCommand command) {
    long version = image.configurationVersion();
    if (!(command.change() instanceof ConfigurationChange change)) {
      return new CommandOutcome(CommandStatus.ACCEPTED, version, "");
    }
    if (command.expectedVersion() >= 0 && command.expectedVersion() != version) {
      return new CommandOutcome(
          CommandStatus.CONFLICT,
          version,
          "expected version " + command.expectedVersion() + ", current version is " + version);
    }
    return ChangeValidator.check(image, change)
        .map(text -> new CommandOutcome(CommandStatus.INVALID, version, text))
        .orElse(new CommandOutcome(CommandStatus.ACCEPTED, version + 1, ""));
  }

  @Override
  public byte[] snapshot() {
    return codec.encode(new StoredState(image, outcomes.ids(), outcomes.all(), quotas.stored()));
  }

  @Override
  public void restore(byte[] state) {
    StoredState stored = (StoredState) codec.decode(state);
    image = stored.image();
    quotas.restore(stored.quotas());
    recentChanges.clear();
    outcomes.clear();
    for (int i = 0; i < stored.commandIds().size(); i++) {
      outcomes.add(stored.commandIds().get(i), stored.outcomes().get(i));
    }
  }

  @Override
  public void proposalsFailed() {
    listener.proposalsFailed();
  }

  @Override
  public void leadershipStarted(long term) {
    listener.leadershipChanged(true, term);
  }

  @Override
  public void leadershipEnded() {
    listener.leadershipChanged(false, 0);
  }
}
