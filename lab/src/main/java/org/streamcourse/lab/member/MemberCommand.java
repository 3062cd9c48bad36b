package org.streamcourse.lab.member;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.streamcourse.process.FolderDisk;
import org.streamcourse.process.settings.HostPort;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs one member of a stand-in database group as a process. */
@Command(
    name = "member",
    mixinStandardHelpOptions = true,
    description = "Runs one member of a stand-in database group until it is killed.")
public final class MemberCommand implements Callable<Integer> {
  @Option(names = "--listen", required = true, description = "Address for SQL, IP:PORT.")
  private String listen;

  @Option(
      names = "--replication",
      required = true,
      description = "Address for replication, IP:PORT.")
  private String replication;

  @Option(names = "--data", required = true, description = "Data folder.")
  private Path data;

  @Option(names = "--peer", description = "Replication address of another member, NAME=IP:PORT.")
  private Map<String, String> peers = new TreeMap<>();

  @Option(
      names = "--connections",
      defaultValue = "40",
      description = "Maximum number of connections.")
  private int connections;

  @Option(
      names = "--slots",
      defaultValue = "5",
      description = "Maximum number of running statements.")
  private int slots;

  @Option(
      names = "--connect-millis",
      defaultValue = "12",
      description = "Simulated time to connect, ms.")
  private long connectMillis;

  @Option(
      names = "--lag-millis",
      defaultValue = "0",
      description = "Delay before a replica applies a record, ms.")
  private long lagMillis;

  @Option(names = "--user", required = true, description = "User name.")
  private String user;

  @Option(names = "--password", required = true, description = "Password.")
  private String password;

  @Override
  public Integer call() throws Exception {
    Member member = new Member(new FolderDisk(data), lagMillis);
    Map<String, HostPort> peerAddresses = new TreeMap<>();
    peers.forEach((name, address) -> peerAddresses.put(name, HostPort.parse(address)));
    new Replication(member, peerAddresses).start(HostPort.parse(replication));
    MemberServer server =
        new MemberServer(
            member, new MemberServer.Limits(connections, slots, connectMillis, user, password));
    server.start(HostPort.parse(listen));
    Thread.currentThread().join();
    return 0;
  }
}
