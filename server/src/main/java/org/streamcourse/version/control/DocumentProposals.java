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
  private long proposedVersion = RoutingDocument.NONE.version();
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
    proposedVersion = RoutingDocument.NONE.version();
    next = RoutingDocument.NONE;
  }

  /**
   * Proposes a document now or after the one that is being agreed.
   *
   * @return false if this or a newer version is agreed or about to be
   */
  boolean add(ClusterImage image, RoutingDocument document) {
    long newest = Math.max(image.document().version(), Math.max(proposedVersion, next.version()));
    boolean newer = document.version() > newest;
    next = newer ? document : next;
    proposeNext(image);
    return newer;
  }

  /** Called when a change of the document was applied. */
  void applied(ClusterImage image) {
    proposedVersion = RoutingDocument.NONE.version();
    proposeNext(image);
  }

  /** Called when proposed changes could not be stored, so that they can be proposed again. */
  void failed() {
    proposedVersion = RoutingDocument.NONE.version();
  }

  private void proposeNext(ClusterImage image) {
    boolean idle = proposedVersion == RoutingDocument.NONE.version();
    if (!idle || !next.isPresent()) {
      return;
    }
    RoutingDocument document = next;
    next = RoutingDocument.NONE;
    if (document.version() > image.document().version()) {
      proposedVersion = document.version();
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
