/** Exit codes of the command line. */

/** The check or the question had a negative answer. */
export const EXIT_NEGATIVE = 1;
/** Wrong input: arguments, files or addresses. */
export const EXIT_INPUT = 2;
/** The call was refused: it was not run. */
export const EXIT_REFUSED = 3;
/** Nobody can say whether the call was run. */
export const EXIT_UNKNOWN = 4;
/** The call was run and failed. */
export const EXIT_FAILED = 5;
