package org.streamcourse.lab.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Starts a fleet and runs it until SIGTERM. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description = "Starts a fleet of real processes and keeps it up until SIGTERM.")
public final class FleetCommand implements Callable<Integer> {
  @Option(names = "--dir", required = true, description = "Folder for settings, data and logs.")
  private Path folder;

  @Option(names = "--profile", defaultValue = "stations", description = "stations or association.")
  private String profile;

  @Override
  public Integer call() throws Exception {
    Fleet fleet = new Fleet(Profile.named(profile), folder, Fleet.Options.DEFAULT);
    Runtime.getRuntime().addShutdownHook(new Thread(fleet::close, "fleet-close"));
    fleet.start();
    System.out.println(new ObjectMapper().writeValueAsString(describe(fleet)));
    System.out.flush();
    new CountDownLatch(1).await();
    return 0;
  }

  private static ObjectNode describe(Fleet fleet) throws Exception {
    ObjectNode json = new ObjectMapper().createObjectNode();
    ArrayNode callers = json.putArray("callers");
    fleet.proxies().forEach(proxy -> callers.add(proxy.callers().toString()));
    json.put("admin", fleet.adminOf("c1").toString());
    ArrayNode databases = json.putArray("databases");
    fleet.profile().databases().forEach(databases::add);
    json.put("user", Fleet.USER);
    json.put("password", Fleet.PASSWORD);
    ArrayNode members = json.putArray("members");
    Map<String, String> primaries = new java.util.TreeMap<>();
    for (Map<String, String> group : fleet.admin("SHOW GROUPS")) {
      primaries.put(group.get("group"), group.get("primary"));
    }
    for (Fleet.MemberHandle member : fleet.members()) {
      boolean primary = member.member().equals(primaries.get(member.database()));
      members
          .addObject()
          .put("database", member.database())
          .put("member", member.member())
          .put("pid", member.process().pid())
          .put("role", primary ? "primary" : "replica");
    }
    return json;
  }
}
