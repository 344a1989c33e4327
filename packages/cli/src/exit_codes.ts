/** Exit codes of the command line; 0 is success. */

/** A check failed: invalid bundle, settings or envelope, or not in force. */
export const EXIT_NEGATIVE = 1;
/** Wrong input: arguments, files or addresses that a command cannot use. */
export const EXIT_INPUT = 2;
/** The call was refused: it was not run. */
export const EXIT_REFUSED = 3;
/** It is unknown whether the call was run. */
export const EXIT_UNKNOWN = 4;
/** The call was run and failed. */
export const EXIT_FAILED = 5;
