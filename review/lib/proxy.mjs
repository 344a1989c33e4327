/** A TCP proxy on loopback that can silence its open connections. */

import { connect, createServer } from "node:net";

/** Starts a proxy on `host` in front of `target`, an `IP:PORT`. */
export async function startProxy(host, target) {
  const [targetHost, targetPort] = target.split(":");
  const pairs = new Set();
  const server = createServer((near) => {
    const far = connect(Number(targetPort), targetHost);
    const pair = { near, far, isSilent: false };
    pairs.add(pair);
    for (const [from, to] of [[near, far], [far, near]]) {
      from.on("data", (bytes) => {
        if (!pair.isSilent) to.write(bytes);
      });
      from.on("error", () => {});
    }
    near.on("close", () => {
      pairs.delete(pair);
      far.destroy();
    });
    far.on("close", () => {
      if (!pair.isSilent) near.destroy();
    });
  });
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    /** Open connections carry nothing more; new ones work. */
    silenceOpen: () => {
      for (const pair of pairs) pair.isSilent = true;
      return pairs.size;
    },
    close: () => {
      server.close();
      for (const { near, far } of pairs) {
        near.destroy();
        far.destroy();
      }
    },
  };
}
