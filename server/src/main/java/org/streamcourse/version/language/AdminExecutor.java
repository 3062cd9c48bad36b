package org.streamcourse.version.language;

import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import org.streamcourse.process.ErrorCode;
import org.streamcourse.process.StreamcourseException;
import org.streamcourse.version.control.AdminResult;
import org.streamcourse.version.control.ControlMessage.CommandOutcome;
import org.streamcourse.version.control.ControlMessage.LoggedCommand;
import org.streamcourse.version.control.Controller;
import org.streamcourse.version.image.ClusterChange.ConfigurationChange;
import org.streamcourse.version.language.AdminStatement.Change;
import org.streamcourse.version.language.AdminStatement.Show;
import org.streamcourse.version.language.AdminStatement.SwitchPrimary;

/** Executes operators' statements on the leader; runs on the controller's worker. */
public final class AdminExecutor {
  private final Controller controller;

  /**
   * Creates an executor.
   *
   * @param controller controller that is the leader
   */
  public AdminExecutor(Controller controller) {
    this.controller = controller;
  }

  /**
   * Executes a statement.
   *
   * @param text text of the statement
   * @param answer receives the result; a SHOW statement is answered once a majority of the voters
   *     has confirmed that this controller is still the leader
   */
  public void execute(String text, Consumer<AdminResult> answer) {
    try {
      AdminStatement statement = new StatementParser(controller.image()).parse(text);
      if (statement instanceof Show show) {
        controller.agreement().whenLeadershipConfirmed(() -> answer.accept(show(show)), false);
      } else if (statement instanceof Change change) {
        submit(change, answer);
      } else if (statement instanceof SwitchPrimary switchPrimary) {
        switchPrimary(switchPrimary, answer);
      }
    } catch (StreamcourseException e) {
      answer.accept(AdminResult.error(e.code().sqlState(), e.getMessage()));
    }
  }

  private AdminResult show(Show show) {
    try {
      return AdminViews.show(controller, show);
    } catch (StreamcourseException e) {
      return AdminResult.error(e.code().sqlState(), e.getMessage());
    }
  }

  private void submit(Change change, Consumer<AdminResult> answer) {
    String given = change.precondition().commandId();
    String id = given.isEmpty() ? UUID.randomUUID().toString() : given;
    LoggedCommand command =
        new LoggedCommand(id, change.precondition().expectedVersion(), change.change());
    controller.submit(command, outcome -> answer.accept(result(change.change(), outcome)));
  }

  private static AdminResult result(ConfigurationChange change, CommandOutcome outcome) {
    return switch (outcome.status()) {
      case ACCEPTED ->
          new AdminResult(
              List.of("version"),
              List.of(List.of(Long.toString(outcome.configurationVersion()))),
              change.getClass().getSimpleName(),
              "",
              "");
      case CONFLICT -> AdminResult.error(ErrorCode.VERSION_CONFLICT.sqlState(), outcome.detail());
      case INVALID -> AdminResult.error(ErrorCode.INVALID_COMMAND.sqlState(), outcome.detail());
    };
  }

  private void switchPrimary(SwitchPrimary statement, Consumer<AdminResult> answer) {
    long expected = statement.precondition().expectedVersion();
    long current = controller.image().configurationVersion();
    if (expected >= 0 && expected != current) {
      answer.accept(
          AdminResult.error(
              ErrorCode.VERSION_CONFLICT.sqlState(),
              "expected version " + expected + ", current version is " + current));
      return;
    }
    Optional<String> wrong = controller.switchPrimary(statement.group(), statement.member());
    answer.accept(
        wrong
            .map(text -> AdminResult.error(ErrorCode.INVALID_COMMAND.sqlState(), text))
            .orElse(new AdminResult(List.of(), List.of(), "SWITCH PRIMARY", "", "started")));
  }
}
