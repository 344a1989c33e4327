import { connect } from "node:net";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  bundleText,
  isReadyWithUpstreams,
  startTestFleet,
  type TestFleet,
  waitUntil,
} from "./harness.ts";

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await startTestFleet();
  fleet.platform.publish("bundles/fleet", fleet.operator.sign(bundleText(1)));
  const member = await fleet.add();
  await waitUntil(() => isReadyWithUpstreams(member, 1), "ready");
});

afterAll(() => fleet.close());

/** Sends a raw HTTP request and returns the raw response. */
function sendRaw(request: string): Promise<string> {
  const address = fleet.members[0]?.node.dataAddress ?? "";
  const [host = "", port = "0"] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    let text = "";
    socket.on("data", (data) => {
      text += data.toString("utf8");
    });
    socket.on("close", () => resolve(text));
    socket.write(request.replaceAll("\n", "\r\n"));
  });
}

function requestText(
  path: string,
  options: { readonly headers?: readonly string[]; readonly body: string },
): string {
  return [
    `POST ${path} HTTP/1.1`,
    "host: node",
    "connection: close",
    "coltsfootdeal-account: office",
    "coltsfootdeal-caller: runner-1",
    ...(options.headers ?? []),
    `content-length: ${options.body.length}`,
    "",
    options.body,
  ].join("\n");
}

/** Replaces the parts of a message that differ between runs. */
function normalise(text: string): string {
  return text.replaceAll("\r\n", "\n")
    .replace(/^date: .*$/gim, "date: <date>")
    .replace(/\b\d{13}-[0-9a-f]{12}\b/g, "<incarnation>")
    .replace(/~[0-9a-f]{32}~\d+~[\w-]{43}/g, "~<nonce>~<expiry>~<seal>");
}

test("requests and responses of a caller match the golden file", async () => {
  const deadline = "coltsfootdeal-deadline-ms: 4000";
  const lines: string[] = [];
  async function recordExchange(request: string): Promise<string> {
    const response = await sendRaw(request);
    const messages = [request, response].map(normalise);
    lines.push(`> ${messages[0]?.replaceAll("\n", "\n> ")}`);
    lines.push(`< ${messages[1]?.replaceAll("\n", "\n< ")}`, "");
    return response;
  }
  const check = "/v1/call/seals/check";
  await recordExchange(
    requestText(check, { headers: [deadline], body: "seal 7" }),
  );
  await recordExchange(requestText(check, { body: "seal 7" }));
  const issued = await recordExchange(
    requestText("/v1/tickets?count=1", { body: "" }),
  );
  const ticket = /t1~[\w~-]+/.exec(issued)?.[0] ?? "";
  const headers = [deadline, `coltsfootdeal-ticket: ${ticket}`];
  const sanction = "/v1/call/seals/sanction";
  await recordExchange(requestText(sanction, { headers, body: "sanction 1" }));
  await recordExchange(requestText(sanction, { headers, body: "sanction 1" }));
  await recordExchange(requestText(sanction, { headers, body: "sanction 2" }));
  await recordExchange(
    requestText(check, { headers: [deadline], body: "failing" }),
  );
  const text = lines.join("\n");
  await expect(text).toMatchFileSnapshot("./__golden__/caller_session.txt");
});
