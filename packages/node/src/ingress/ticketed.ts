/** Calls that must not repeat: tickets, joins and saved answers. */

import { Buffer } from "node:buffer";
import { createHash, randomBytes } from "node:crypto";
import type { Clock } from "@coltsfootdeal/kernel";
import {
  createTicketBook,
  refused,
  type Ticket,
  type TicketBook,
  unknown,
} from "@coltsfootdeal/policy";
import { type Answer, bareAnswer } from "../answer.ts";
import type { Ingress, WholeRequest } from "./ingress.ts";
import type { Bearer } from "./request.ts";
import { createSeal } from "./seal.ts";

/** Resolved configuration. */
export interface TicketServiceConfig {
  readonly instance: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly ingress: Ingress;
  /** Whether this node takes no new work. */
  readonly leaving: () => boolean;
  /** Hands a call on to the home of its ticket. */
  readonly forwardToHome: (
    home: string,
    whole: WholeRequest,
  ) => Promise<Answer>;
}

/** Runs calls with tickets. */
export interface TicketService {
  /** Mints up to `count` tickets; fewer when the book is full. */
  readonly mint: (bearer: Bearer, count: number) => readonly string[];
  readonly handle: (whole: WholeRequest, ticket: string) => Promise<Answer>;
  /** Forgets what has expired. */
  readonly expire: () => void;
  readonly size: () => number;
}

function bearerText({ account, caller }: Bearer): string {
  return `${account}/${caller}`;
}

function digestOf({ request, payload }: WholeRequest): string {
  const { account, caller, service, kind } = request;
  const head = [account, caller, service, kind.name].join("\n");
  return createHash("sha256").update(`${head}\n`).update(payload.body).digest(
    "hex",
  );
}

/** Creates the tickets of one incarnation. */
export function createTicketService(
  config: TicketServiceConfig,
): TicketService {
  const { instance, incarnation, clock, ingress } = config;
  const book: TicketBook = createTicketBook({ instance, incarnation });
  const seal = createSeal(instance, incarnation);
  const answers = new Map<string, Promise<Answer>>();

  function run(whole: WholeRequest, nonce: string): Promise<Answer> {
    // The caller's own connection does not end a run that must not repeat: a
    // resend may be on its way to join it.
    const detached = { ...whole, signal: new AbortController().signal };
    const answer = ingress.handle(detached).then((answer) => {
      const savedBytes = answer.body.length;
      book.settle(nonce, answer.outcome, { savedBytes });
      if (answer.outcome.kind === "refused") answers.delete(nonce);
      return answer;
    });
    answers.set(nonce, answer);
    return answer;
  }

  function untilDeadline(
    whole: WholeRequest,
    answer: Promise<Answer>,
  ): Promise<Answer> {
    return new Promise((resolve) => {
      const timer = clock.after(whole.request.deadlineMs, () => {
        resolve(bareAnswer(unknown("deadline")));
      });
      answer.then((value) => {
        timer.close();
        resolve(value);
      });
    });
  }

  function present(whole: WholeRequest, ticket: Ticket): Promise<Answer> {
    const own = ticket.home === instance && ticket.incarnation === incarnation;
    if (own && config.leaving() && !book.knows(ticket.nonce)) {
      return Promise.resolve(bareAnswer(refused("leaving")));
    }
    const presentation = { ticket, digest: digestOf(whole) };
    const verdict = book.present(presentation, clock.now());
    switch (verdict.kind) {
      case "run":
        return untilDeadline(whole, run(whole, ticket.nonce));
      case "join":
      case "saved": {
        const known = answers.get(ticket.nonce);
        const lost = Promise.resolve(bareAnswer(unknown("connection_lost")));
        return untilDeadline(whole, known ?? lost);
      }
      case "conflict":
        return Promise.resolve(bareAnswer(refused("ticket_conflict")));
      case "expired":
        return Promise.resolve(bareAnswer(unknown("ticket_expired")));
      case "home_gone":
        return Promise.resolve(bareAnswer(unknown("ticket_home_gone")));
      case "forward":
        return config.forwardToHome(verdict.home, whole);
    }
  }

  return {
    mint: (bearer, count) => {
      const texts: string[] = [];
      for (let index = 0; index < count; index++) {
        const nonce = randomBytes(16).toString("hex");
        const ticket = book.mint(nonce, Math.ceil(clock.now()));
        if (ticket === undefined) break;
        texts.push(seal.seal(ticket, bearerText(bearer)));
      }
      return texts;
    },
    handle: (whole, text) => {
      const unsealed = seal.unseal(text, bearerText(whole.request));
      switch (unsealed.kind) {
        case "invalid":
          // The genuine ticket may have been run, so this is no refusal.
          return Promise.resolve(bareAnswer(unknown("ticket_invalid")));
        case "own":
        case "foreign":
          return present(whole, unsealed.ticket);
      }
    },
    expire: () => {
      for (const nonce of book.expire(clock.now())) answers.delete(nonce);
    },
    size: () => book.size(),
  };
}

/** The body of an answer to a request for tickets. */
export function formatTickets(tickets: readonly string[]): Buffer {
  return Buffer.from(JSON.stringify({ tickets }));
}
