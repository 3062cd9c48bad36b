package org.streamcourse.lab.member;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.sql.SQLException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.streamcourse.lab.member.Member.ReplicationRequest;
import org.streamcourse.lab.member.Member.WrongRoleException;
import org.streamcourse.process.settings.HostPort;
import org.streamcourse.version.control.MemberRole;
import org.streamcourse.version.control.MemberStatus;

/**
 * Replicates the log: a replica connects to its primary, sends the last offset of each term in its
 * own log, and receives the records after the common end of both logs.
 */
final class Replication {
  private static final Logger LOG = LoggerFactory.getLogger(Replication.class);
  private static final long POLL_MILLIS = 200;
  private static final int PRIMARY_TIMEOUT_MILLIS = 2_000;
  private static final long RETRY_MILLIS = 20;

  private final Member member;
  private final Map<String, HostPort> peers;

  /** Current request to the primary and its connection; both are guarded by this object. */
  private ReplicationRequest followed;

  private Socket followedSocket;

  Replication(Member member, Map<String, HostPort> peers) {
    this.member = member;
    this.peers = peers;
    member.addListener(new RoleListener());
  }

  /** Closes the connection to a primary as soon as the member no longer follows it. */
  private final class RoleListener implements Member.Listener {
    @Override
    public void onStatusChanged(MemberStatus status) {
      closeUnlessFollowed(status);
    }

    @Override
    public void onPrimaryLost() {
      // Affects only the sessions of callers.
    }

    @Override
    public void onDatabaseReplaced() {
      // Affects only the sessions of callers.
    }
  }

  private synchronized void closeUnlessFollowed(MemberStatus status) {
    boolean same =
        followed != null
            && status.role() == MemberRole.REPLICA
            && status.term() == followed.term()
            && status.upstream().equals(followed.primary());
    if (!same) {
      closeQuietly(followedSocket);
      notifyAll();
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      LOG.debug("close failed: {}", e.toString());
    }
  }

  private synchronized void setFollowed(ReplicationRequest request, Socket socket) {
    followed = request;
    followedSocket = socket;
  }

  /** Waits for the retry delay, or until the member's role changes. */
  private synchronized void awaitChange() throws InterruptedException {
    wait(RETRY_MILLIS);
  }

  void start(HostPort listen) throws IOException {
    ServerSocket server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(new InetSocketAddress(listen.host(), listen.port()));
    daemon("replication-accept", () -> accept(server));
    daemon("replication-follow", this::followForever);
  }

  private static void daemon(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket server) {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        daemon("replication-serve", () -> serve(socket));
      } catch (IOException e) {
        LOG.warn("replication connection could not be accepted", e);
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      DataOutputStream out =
          new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
      long term = in.readLong();
      Map<Long, Long> termEnds = new TreeMap<>();
      int count = in.readInt();
      for (int i = 0; i < count; i++) {
        termEnds.put(in.readLong(), in.readLong());
      }
      long position = member.commonEnd(term, termEnds);
      out.writeLong(position);
      out.flush();
      while (true) {
        List<LogRecord> records = member.recordsAfter(term, position, POLL_MILLIS);
        writeRecords(out, records);
        position += records.size();
      }
    } catch (IOException | WrongRoleException e) {
      LOG.debug("connection of a replica ended: {}", e.toString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void writeRecords(DataOutputStream out, List<LogRecord> records)
      throws IOException {
    out.writeInt(records.size());
    for (LogRecord record : records) {
      byte[] bytes = MemberLog.encode(record);
      out.writeInt(bytes.length);
      out.write(bytes);
    }
    out.flush();
  }

  private void followForever() {
    while (!Thread.currentThread().isInterrupted()) {
      ReplicationRequest request = member.replicationRequest();
      HostPort primary = request == null ? null : peers.get(request.primary());
      if (primary != null) {
        follow(request, primary);
      }
      try {
        awaitChange();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void follow(ReplicationRequest request, HostPort primary) {
    try (Socket socket = new Socket()) {
      setFollowed(request, socket);
      socket.connect(new InetSocketAddress(primary.host(), primary.port()), PRIMARY_TIMEOUT_MILLIS);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(PRIMARY_TIMEOUT_MILLIS);
      DataOutputStream out = new DataOutputStream(socket.getOutputStream());
      DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
      sendRequest(out, request);
      member.startReplication(request, in.readLong());
      while (request.primary().equals(currentPrimary())) {
        List<LogRecord> records = readRecords(in);
        if (!records.isEmpty()) {
          member.receive(request, records);
        }
      }
    } catch (IOException | WrongRoleException e) {
      LOG.debug("replication from {} ended: {}", request.primary(), e.toString());
    } catch (SQLException e) {
      throw new IllegalStateException("failed to rebuild the database from the log", e);
    } finally {
      setFollowed(null, null);
    }
  }

  private String currentPrimary() {
    ReplicationRequest now = member.replicationRequest();
    return now == null ? "" : now.primary();
  }

  private static void sendRequest(DataOutputStream out, ReplicationRequest request)
      throws IOException {
    out.writeLong(request.term());
    out.writeInt(request.termEnds().size());
    for (Map.Entry<Long, Long> end : request.termEnds().entrySet()) {
      out.writeLong(end.getKey());
      out.writeLong(end.getValue());
    }
    out.flush();
  }

  private static List<LogRecord> readRecords(DataInputStream in) throws IOException {
    int count = in.readInt();
    List<LogRecord> records = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      records.add(MemberLog.decode(in.readNBytes(in.readInt())));
    }
    return records;
  }
}
