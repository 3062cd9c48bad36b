package org.streamcourse.version.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
  private static final int MAX_OUTCOMES = 4_096;
  private static final int MAX_CHANGES = 2_048;

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
  private final Map<String, CommandOutcome> outcomes = new LinkedHashMap<>();
  private final Deque<ClusterChange> recentChanges = new ArrayDeque<>();
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
   */
  public ControllerStateMachine(MessageCodec codec) {
    this.codec = codec;
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
    return Optional.ofNullable(outcomes.get(commandId));
  }

  /**
   * Returns the changes since a version.
   *
   * @param version version that the delta starts from
   * @return delta, or empty when the changes are no longer kept
   */
  public Optional<ClusterDelta> deltaSince(long version) {
    long missing = image.version() - version;
    if (missing < 0 || missing > recentChanges.size()) {
      return Optional.empty();
    }
    List<ClusterChange> changes = new ArrayList<>(recentChanges);
    int from = changes.size() - (int) missing;
    return Optional.of(
        new ClusterDelta(version, new ArrayList<>(changes.subList(from, changes.size()))));
  }

  @Override
  public void apply(long index, byte[] command) {
    LoggedCommand logged = (LoggedCommand) codec.decode(command);
    CommandOutcome known = outcomes.get(logged.commandId());
    CommandOutcome outcome = known == null ? decide(logged) : known;
    if (logged.change() instanceof ClusterChange.QuotaGranted granted) {
      newGrants = quotas.apply(granted);
    } else if (known == null && outcome.status() == CommandStatus.ACCEPTED) {
      image = image.apply(logged.change());
      remember(logged.change());
    }
    if (known == null && !logged.commandId().isEmpty()) {
      outcomes.put(logged.commandId(), outcome);
      if (outcomes.size() > MAX_OUTCOMES) {
        outcomes.remove(outcomes.keySet().iterator().next());
      }
    }
    listener.applied(logged, outcome);
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

  private void remember(ClusterChange change) {
    recentChanges.addLast(change);
    if (recentChanges.size() > MAX_CHANGES) {
      recentChanges.removeFirst();
    }
  }

  @Override
  public byte[] snapshot() {
    return codec.encode(
        new StoredState(
            image,
            new ArrayList<>(outcomes.keySet()),
            new ArrayList<>(outcomes.values()),
            quotas.stored()));
  }

  @Override
  public void restore(byte[] state) {
    StoredState stored = (StoredState) codec.decode(state);
    image = stored.image();
    quotas.restore(stored.quotas());
    recentChanges.clear();
    outcomes.clear();
    for (int i = 0; i < stored.commandIds().size(); i++) {
      outcomes.put(stored.commandIds().get(i), stored.outcomes().get(i));
    }
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
