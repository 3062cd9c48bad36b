package org.streamcourse.version.control;

import java.util.function.Consumer;
import org.streamcourse.version.image.ClusterChange;
import org.streamcourse.version.image.ClusterChange.DocumentEdited;
import org.streamcourse.version.image.ClusterChange.DocumentReplaced;
import org.streamcourse.version.image.ClusterImage;
import org.streamcourse.version.image.DocumentEdit;
import org.streamcourse.version.image.RoutingDocument;

/**
 * Proposes the operators' documents one at a time. While one is not agreed, only the newest of
 * those that follow is kept: it replaces the others anyway. A document is proposed as its
 * difference from the agreed one where that takes fewer bytes.
 *
 * <p>All methods run on the controller's worker.
 */
final class DocumentProposals {
  private final Consumer<ClusterChange> propose;
  private RoutingDocument proposed = RoutingDocument.NONE;
  private RoutingDocument next = RoutingDocument.NONE;

  /**
   * Creates the proposals.
   *
   * @param propose appends a change to the log
   */
  DocumentProposals(Consumer<ClusterChange> propose) {
    this.propose = propose;
  }

  /** Forgets all documents when a leadership begins or ends. */
  void restart() {
    proposed = RoutingDocument.NONE;
    next = RoutingDocument.NONE;
  }

  /**
   * Proposes a document now or after the one that is being agreed.
   *
   * @return false if this or a newer version is agreed or about to be
   */
  boolean add(ClusterImage image, RoutingDocument document) {
    long newest =
        Math.max(image.document().version(), Math.max(proposed.version(), next.version()));
    boolean newer = document.version() > newest;
    next = newer ? document : next;
    proposeNext(image);
    return newer;
  }

  /**
   * Called when a change of the document was applied. The proposed document follows again if its
   * edit had no effect, since another document had become the agreed one before it.
   *
   * @param version version that the change makes
   */
  void applied(long version, ClusterImage image) {
    if (version == proposed.version()) {
      next = proposed.version() > next.version() ? proposed : next;
      proposed = RoutingDocument.NONE;
    }
    proposeNext(image);
  }

  /** Called when proposed changes could not be stored, so that they can be proposed again. */
  void failed() {
    proposed = RoutingDocument.NONE;
  }

  private void proposeNext(ClusterImage image) {
    if (proposed.isPresent() || !next.isPresent()) {
      return;
    }
    RoutingDocument document = next;
    next = RoutingDocument.NONE;
    if (document.version() > image.document().version()) {
      proposed = document;
      propose.accept(shorterChange(image.document(), document));
    }
  }

  private static ClusterChange shorterChange(RoutingDocument base, RoutingDocument document) {
    if (base.isPresent()) {
      DocumentEdit edit = DocumentEdit.between(base, document);
      if (edit.isShorterThan(document)) {
        return new DocumentEdited(edit);
      }
    }
    return new DocumentReplaced(document);
  }
}
