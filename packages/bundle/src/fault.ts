/** Faults in operators' input: bundles and settings. */

/** A validation error: its section, its key and the expected value. */
export interface Fault {
  /** Section as written, or "(file)" outside of any section. */
  readonly section: string;
  /** Key as written, or "(section)" for the section itself. */
  readonly key: string;
  /** Description of the expected value. */
  readonly expected: string;
  /** The value found; absent if there is none. */
  readonly found?: string;
}

/** Formats a fault as one line. */
export function formatFault(fault: Fault): string {
  const found = fault.found === undefined ? "" : `, found "${fault.found}"`;
  return `[${fault.section}] ${fault.key}: expected ${fault.expected}${found}`;
}
