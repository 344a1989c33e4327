/** The text form of tickets, sealed by a key that lives with the process. */

import { Buffer } from "node:buffer";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { Ticket } from "@coltsfootdeal/policy";

/** What a ticket text says. */
export type Unsealed =
  /** Minted by this incarnation, and the seal holds. */
  | { readonly kind: "own"; readonly ticket: Ticket }
  /** Names another home; only that home can check the seal. */
  | { readonly kind: "foreign"; readonly ticket: Ticket }
  | { readonly kind: "invalid" };

/** Seals and unseals the tickets of one incarnation. */
export interface Seal {
  readonly seal: (ticket: Ticket, bearer: string) => string;
  readonly unseal: (text: string, bearer: string) => Unsealed;
}

const FORM = /^t1~([a-z0-9-]+)~([a-z0-9-]+)~([a-f0-9]{32})~(\d+)~([\w-]{43})$/;

/** Creates the seal of an incarnation, with a fresh key. */
export function createSeal(instance: string, incarnation: string): Seal {
  const key = randomBytes(32);

  function macOf(body: string, bearer: string): Buffer {
    return createHmac("sha256", key).update(`${body}\n${bearer}`).digest();
  }

  return {
    seal: (ticket, bearer) => {
      const expiresAt = Math.ceil(ticket.expiresAt);
      const fields = [ticket.home, ticket.incarnation, ticket.nonce, expiresAt];
      const body = `t1~${fields.join("~")}`;
      return `${body}~${macOf(body, bearer).toString("base64url")}`;
    },
    unseal: (text, bearer) => {
      const match = FORM.exec(text);
      if (match === null) return { kind: "invalid" };
      const [, home = "", from = "", nonce = "", expiry = "", mac = ""] = match;
      const ticket = {
        home,
        incarnation: from,
        nonce,
        expiresAt: Number(expiry),
      };
      if (home !== instance || from !== incarnation) {
        return { kind: "foreign", ticket };
      }
      const body = text.slice(0, text.lastIndexOf("~"));
      const given = Buffer.from(mac, "base64url");
      const expected = macOf(body, bearer);
      const holds = given.length === expected.length &&
        timingSafeEqual(given, expected);
      return holds ? { kind: "own", ticket } : { kind: "invalid" };
    },
  };
}
