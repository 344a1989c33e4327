/** Positions in the history of a platform that can come back from a backup. */

/** A point in a platform's history. */
export interface Position {
  /**
   * Number of times that the platform came back from a backup. Within an era,
   * revisions only increase; a later one may assign revisions again.
   */
  readonly era: number;
  readonly revision: number;
}

/** Revisions that one era can assign, so that a position fits one number. */
const REVISIONS_PER_ERA = 2 ** 40;

/** Number that orders positions: those of a later era are later. */
export function orderOf({ era, revision }: Position): number {
  return era * REVISIONS_PER_ERA + revision;
}
