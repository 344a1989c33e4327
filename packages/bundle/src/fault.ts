/** Faults in operators' input. */

/** One fault: where it is and what was expected there. */
export interface Fault {
  /** Section as written, or "(file)". */
  readonly section: string;
  /** Key as written, or "(section)". */
  readonly key: string;
  readonly expected: string;
  /** The text found, if any. */
  readonly found?: string;
}

/** Formats a fault as one line for people. */
export function formatFault(fault: Fault): string {
  const found = fault.found === undefined ? "" : `, found "${fault.found}"`;
  return `[${fault.section}] ${fault.key}: expected ${fault.expected}${found}`;
}
