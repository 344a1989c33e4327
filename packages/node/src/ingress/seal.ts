/** Text form of tickets, signed with a key that exists only in this process. */

import { Buffer } from "node:buffer";
import { createHmac, randomBytes, timingSafeEqual } from "node:crypto";
import type { Ticket } from "@coltsfootdeal/policy";

/** Result of verifying the text of a ticket. */
export type TicketVerification =
  /** Issued by this incarnation, with a valid signature. */
  | { readonly kind: "own"; readonly ticket: Ticket }
  /** Issued by another instance or incarnation, which alone can verify it. */
  | { readonly kind: "foreign"; readonly ticket: Ticket }
  | { readonly kind: "invalid" };

/**
 * Signs and verifies the tickets of one incarnation. A ticket is valid only for
 * the caller that it was issued to.
 */
export interface TicketSigner {
  readonly sign: (ticket: Ticket, caller: string) => string;
  readonly verify: (text: string, caller: string) => TicketVerification;
}

/** Version, home, incarnation, nonce, expiry and base64url HMAC-SHA-256. */
const TICKET_PATTERN =
  /^t1~([a-z0-9-]+)~([a-z0-9-]+)~([a-f0-9]{32})~(\d+)~([\w-]{43})$/;

/** Creates the signer of an incarnation, with a random key. */
export function createTicketSigner(
  instance: string,
  incarnation: string,
): TicketSigner {
  const key = randomBytes(32);

  function macOf(signedText: string, caller: string): Buffer {
    return createHmac("sha256", key).update(`${signedText}\n${caller}`)
      .digest();
  }

  return {
    sign: (ticket, caller) => {
      const expiresAt = Math.ceil(ticket.expiresAt);
      const fields = [ticket.home, ticket.incarnation, ticket.nonce, expiresAt];
      const signedText = `t1~${fields.join("~")}`;
      return `${signedText}~${macOf(signedText, caller).toString("base64url")}`;
    },
    verify: (text, caller) => {
      const match = TICKET_PATTERN.exec(text);
      if (match === null) return { kind: "invalid" };
      const [, home = "", issuer = "", nonce = "", expiry = "", mac = ""] =
        match;
      const ticket = {
        home,
        incarnation: issuer,
        nonce,
        expiresAt: Number(expiry),
      };
      if (home !== instance || issuer !== incarnation) {
        return { kind: "foreign", ticket };
      }
      const signedText = text.slice(0, text.lastIndexOf("~"));
      const actual = Buffer.from(mac, "base64url");
      const expected = macOf(signedText, caller);
      const matches = actual.length === expected.length &&
        timingSafeEqual(actual, expected);
      return matches ? { kind: "own", ticket } : { kind: "invalid" };
    },
  };
}
