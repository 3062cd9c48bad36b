package org.streamcourse.request.edge;

/**
 * Properties of a statement that routing depends on.
 *
 * @param kind kind of the statement
 * @param changesSession whether the statement may leave state behind in the member's session
 * @param endsTransaction whether the statement may end a transaction
 */
public record StatementClass(Kind kind, boolean changesSession, boolean endsTransaction) {
  /**
   * Kinds of statements. Within a request, {@link #EMPTY} yields to any other kind and {@link
   * #READ} to {@link #BEGIN_READ_ONLY}, which is why the latter is declared later; reads stay
   * {@link #READ}, and any other combination counts as {@link #WRITE}.
   */
  public enum Kind {
    /** Contains no statement. */
    EMPTY,
    /** Only reads; returns the same result on any member that is fresh enough. */
    READ,
    /** Starts a read-only transaction. */
    BEGIN_READ_ONLY,
    /** May write, or must run on the primary. */
    WRITE,
    /** Starts a transaction. */
    BEGIN,
    /** Ends a transaction. */
    END,
    /** Sets a session parameter. */
    SET,
    /** Shows a parameter that the proxy itself defines. */
    SHOW_OWN
  }

  /** A plain read. */
  public static final StatementClass READ = new StatementClass(Kind.READ, false, false);

  /** A write that leaves nothing behind in the session. */
  public static final StatementClass WRITE = new StatementClass(Kind.WRITE, false, false);

  /** A statement that cannot be classified. */
  public static final StatementClass UNKNOWN = new StatementClass(Kind.WRITE, true, true);
}
