/**
 * At-most-once calls: a call with a ticket runs at most once, and each resend
 * with the same ticket joins that run or gets its saved answer.
 */

import { Buffer } from "node:buffer";
import { createHash, randomBytes } from "node:crypto";
import type { Clock } from "@coltsfootdeal/kernel";
import {
  createTicketStore,
  refused,
  type Ticket,
  type TicketStore,
  unknown,
} from "@coltsfootdeal/policy";
import { type Answer, createEmptyAnswer } from "../answer.ts";
import type { BufferedRequest, Ingress } from "./ingress.ts";
import type { AuthenticatedCaller } from "./request.ts";
import { createTicketSigner } from "./seal.ts";

/** Resolved configuration of a ticket service. */
export interface TicketServiceConfig {
  readonly instance: string;
  readonly incarnation: string;
  readonly clock: Clock;
  readonly ingress: Ingress;
  /** Whether this node is shutting down and takes no new calls. */
  readonly leaving: () => boolean;
  /** Forwards a call to the instance that issued its ticket. */
  readonly forwardToHome: (
    home: string,
    buffered: BufferedRequest,
  ) => Promise<Answer>;
}

/** Issues tickets and runs the calls that present them. */
export interface TicketService {
  /** Issues up to `count` tickets; fewer when the ticket store is full. */
  readonly issue: (
    caller: AuthenticatedCaller,
    count: number,
  ) => readonly string[];
  readonly handle: (
    buffered: BufferedRequest,
    ticket: string,
  ) => Promise<Answer>;
  /** Deletes expired tickets and their answers. */
  readonly expire: () => void;
  /** Number of tickets that were presented and have not expired. */
  readonly size: () => number;
}

function formatCaller({ account, caller }: AuthenticatedCaller): string {
  return `${account}/${caller}`;
}

/** Digest by which a ticket presented with a different call is detected. */
function digestWithCaller({ request, payload }: BufferedRequest): string {
  const { account, caller, service, kind } = request;
  const header = [account, caller, service, kind.name].join("\n");
  return createHash("sha256").update(`${header}\n`).update(payload.body).digest(
    "hex",
  );
}

/** Creates the ticket service of one incarnation. */
export function createTicketService(
  config: TicketServiceConfig,
): TicketService {
  const { instance, incarnation, clock, ingress } = config;
  const store: TicketStore = createTicketStore({ instance, incarnation });
  const signer = createTicketSigner(instance, incarnation);
  const answers = new Map<string, Promise<Answer>>();

  function run(buffered: BufferedRequest, nonce: string): Promise<Answer> {
    // The run continues when the caller disconnects, because a resend may join
    // it later.
    const detached = { ...buffered, signal: new AbortController().signal };
    const answer = ingress.handle(detached).then((answer) => {
      const savedBytes = answer.body.length;
      store.settle(nonce, answer.outcome, { savedBytes });
      if (answer.outcome.kind === "refused") answers.delete(nonce);
      return answer;
    });
    answers.set(nonce, answer);
    return answer;
  }

  /** Resolves to `unknown` if the answer does not arrive by the deadline. */
  function untilDeadline(
    buffered: BufferedRequest,
    answer: Promise<Answer>,
  ): Promise<Answer> {
    return new Promise((resolve) => {
      const timer = clock.after(buffered.request.deadlineMs, () => {
        resolve(createEmptyAnswer(unknown("deadline")));
      });
      answer.then((value) => {
        timer.close();
        resolve(value);
      });
    });
  }

  function present(buffered: BufferedRequest, ticket: Ticket): Promise<Answer> {
    const own = ticket.home === instance && ticket.incarnation === incarnation;
    if (own && config.leaving() && !store.wasPresented(ticket.nonce)) {
      return Promise.resolve(createEmptyAnswer(refused("leaving")));
    }
    const presentation = { ticket, digest: digestWithCaller(buffered) };
    const verdict = store.present(presentation, clock.now());
    switch (verdict.kind) {
      case "run":
        return untilDeadline(buffered, run(buffered, ticket.nonce));
      case "join":
      case "saved": {
        const saved = answers.get(ticket.nonce);
        const lost = Promise.resolve(
          createEmptyAnswer(unknown("connection_lost")),
        );
        return untilDeadline(buffered, saved ?? lost);
      }
      case "conflict":
        return Promise.resolve(createEmptyAnswer(refused("ticket_conflict")));
      case "expired":
        return Promise.resolve(createEmptyAnswer(unknown("ticket_expired")));
      case "home_gone":
        return Promise.resolve(createEmptyAnswer(unknown("ticket_home_gone")));
      case "forward":
        return config.forwardToHome(verdict.home, buffered);
    }
  }

  return {
    issue: (caller, count) => {
      const texts: string[] = [];
      for (let index = 0; index < count; index++) {
        const nonce = randomBytes(16).toString("hex");
        const ticket = store.issue(nonce, Math.ceil(clock.now()));
        if (ticket === undefined) break;
        texts.push(signer.sign(ticket, formatCaller(caller)));
      }
      return texts;
    },
    handle: (buffered, text) => {
      const verified = signer.verify(text, formatCaller(buffered.request));
      switch (verified.kind) {
        case "invalid":
          // The call may have run with the genuine ticket, so this is not a
          // refusal.
          return Promise.resolve(createEmptyAnswer(unknown("ticket_invalid")));
        case "own":
        case "foreign":
          return present(buffered, verified.ticket);
      }
    },
    expire: () => {
      for (const nonce of store.expire(clock.now())) answers.delete(nonce);
    },
    size: () => store.size(),
  };
}

/** Formats the response body of a request for tickets. */
export function formatTickets(tickets: readonly string[]): Buffer {
  return Buffer.from(JSON.stringify({ tickets }));
}
