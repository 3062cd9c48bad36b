package org.streamcourse.version.agreement;

import java.util.ArrayList;
import java.util.List;

/**
 * The controllers that replicate the log. An identity is {@code name@disk}: a controller that lost
 * its disk returns with a new identity.
 *
 * @param voters identities whose majority elects and commits
 * @param learners identities that receive the log but do not count towards a majority
 */
public record VoterSet(List<String> voters, List<String> learners) {
  /** Voter set of a controller that has not joined a quorum yet. */
  static final VoterSet EMPTY = new VoterSet(List.of(), List.of());

  private static final char DISK_SEPARATOR = '@';

  /** Makes both lists unmodifiable. */
  public VoterSet {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
  }

  /**
   * Builds an identity.
   *
   * @param name controller's name
   * @param disk identifier of the controller's disk
   * @return identity
   */
  public static String identity(String name, String disk) {
    return name + DISK_SEPARATOR + disk;
  }

  /**
   * Returns the controller's name within an identity.
   *
   * @param identity {@code name@disk}
   * @return name
   */
  public static String nameOf(String identity) {
    int separator = identity.indexOf(DISK_SEPARATOR);
    return separator < 0 ? identity : identity.substring(0, separator);
  }

  /**
   * Returns the size of a majority.
   *
   * @return smallest number of voters that is a majority
   */
  public int majority() {
    return voters.size() / 2 + 1;
  }

  /**
   * Returns all participants.
   *
   * @return voters, then learners
   */
  public List<String> all() {
    List<String> all = new ArrayList<>(voters);
    all.addAll(learners);
    return all;
  }

  /**
   * Adds a learner.
   *
   * @param identity learner to add
   * @return new set
   */
  public VoterSet withLearner(String identity) {
    List<String> more = new ArrayList<>(learners);
    more.add(identity);
    return new VoterSet(voters, more);
  }

  /**
   * Removes a voter or learner.
   *
   * @param identity voter or learner to remove
   * @return new set
   */
  public VoterSet without(String identity) {
    List<String> remainingVoters = new ArrayList<>(voters);
    remainingVoters.remove(identity);
    List<String> remainingLearners = new ArrayList<>(learners);
    remainingLearners.remove(identity);
    return new VoterSet(remainingVoters, remainingLearners);
  }

  /**
   * Turns a learner into a voter.
   *
   * @param identity learner to promote
   * @return new set
   */
  public VoterSet promoted(String identity) {
    List<String> more = new ArrayList<>(voters);
    more.add(identity);
    return new VoterSet(more, without(identity).learners());
  }
}
