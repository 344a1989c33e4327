/** Seeded randomness of a measurement. */

import { hashText } from "@coltsfootdeal/policy";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Draws from a seeded generator. */
export interface Draw {
  /** A number in [0, 1). */
  readonly unit: () => number;
  /** An exponentially distributed number. */
  readonly exponential: (mean: number) => number;
  /** A whole number in [0, bound). */
  readonly below: (bound: number) => number;
}

/** Creates draws from a seed. */
export function createDraw(seed: number): Draw {
  // Small seeds side by side begin with similar draws.
  const generator = xoroshiro128plus(hashText(`seed ${seed}`) | 0);
  const unit = () => uniformFloat64(generator);
  return {
    unit,
    exponential: (mean) => -mean * Math.log(1 - unit()),
    below: (bound) => Math.floor(unit() * bound),
  };
}
