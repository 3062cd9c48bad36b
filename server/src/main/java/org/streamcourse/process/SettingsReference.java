package org.streamcourse.process;

import org.streamcourse.process.settings.CommonSettings;
import org.streamcourse.process.settings.ControllerSettings;
import org.streamcourse.process.settings.ProxySettings;
import org.streamcourse.process.settings.ServiceControllerSettings;
import org.streamcourse.process.settings.SettingsReader;
import org.streamcourse.process.settings.StatementProxySettings;

/** Generates the reference page of all settings. */
public final class SettingsReference {
  private static final String HEADER =
      "| Field | Meaning | Unit | Default |\n| --- | --- | --- | --- |\n";

  private SettingsReference() {}

  /**
   * Generates the page.
   *
   * @return Markdown text
   */
  public static String markdown() {
    StringBuilder page = new StringBuilder("# Settings reference\n\n");
    page.append("Made by `bin/streamcourse settings-reference`; do not edit.\n");
    section(page, "Proxy", ProxySettings.class);
    section(page, "Controller", ControllerSettings.class);
    section(page, "Statement proxy", StatementProxySettings.class);
    section(page, "Service controller", ServiceControllerSettings.class);
    section(page, "Element of `controllers`", CommonSettings.Peer.class);
    section(page, "Element of `users` and `operators`", CommonSettings.User.class);
    section(page, "Element of `routes`", CommonSettings.Route.class);
    return page.toString();
  }

  private static void section(StringBuilder page, String title, Class<? extends Record> settings) {
    page.append("\n## ").append(title).append("\n\n").append(HEADER);
    SettingsReader.describe(settings).forEach(line -> page.append(line).append('\n'));
  }
}
