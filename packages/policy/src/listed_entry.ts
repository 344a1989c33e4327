/**
 * Entries of the instance list that share an address. Only one process listens
 * at an address, but the list may still hold entries of earlier ones, and other
 * applications write entries of their own. So no single entry, and not the one
 * that was heard last, decides what is at an address.
 */

/** An instance as listed by the platform. */
export interface ListedInstance {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Address of the data listener. */
  readonly address: string;
  /** Address of the control listener. */
  readonly control: string;
  readonly state: "live" | "leaving" | "gone";
  /** Calls that it runs concurrently, if the list states it. */
  readonly slots?: number;
  /** Address of the backend server itself, if the list states it. */
  readonly backend?: string;
  /** Start of this incarnation of the backend server, in Unix ms. */
  readonly startedAt?: number;
}

/** An entry of the instance list. */
export interface ListedEntry extends ListedInstance {
  /** Orders the entries of one instance; the highest is the latest. */
  readonly revision: number;
}

/** The backend server whose entry is looked for. */
export interface BackendIdentity {
  readonly service: string;
  /** Address of the backend server itself. */
  readonly address: string;
}

/** Whether two entries say the same, whenever they were written. */
export function isSameListing(a: ListedEntry, b: ListedEntry): boolean {
  const text = (entry: ListedEntry) =>
    JSON.stringify({ ...entry, revision: undefined });
  return text(a) === text(b);
}

/** Address of an entry's backend server; that of its node if none is stated. */
export function backendAddressOf(
  { backend, address }: ListedInstance,
): string {
  return backend ?? address;
}

/**
 * Whether the process of an entry started after that of another at the same
 * address. One that does not state its start counts as the earlier; among
 * entries with the same start the one written last is the later.
 */
function isLaterStart(entry: ListedEntry, other: ListedEntry): boolean {
  const difference = (entry.startedAt ?? 0) - (other.startedAt ?? 0);
  if (difference !== 0) return difference > 0;
  if (entry.revision !== other.revision) {
    return entry.revision > other.revision;
  }
  return entry.id > other.id;
}

/** Of the entries that share an address, that of the process started last. */
function selectLatestStarts(
  entries: readonly ListedEntry[],
  addressOf: (entry: ListedEntry) => string,
): readonly ListedEntry[] {
  const latest = new Map<string, ListedEntry>();
  for (const entry of entries) {
    const address = addressOf(entry);
    const other = latest.get(address);
    if (other === undefined || isLaterStart(entry, other)) {
      latest.set(address, entry);
    }
  }
  return [...latest.values()];
}

/** One entry for each backend server, under its latest id. */
export function selectBackends(
  entries: readonly ListedEntry[],
): readonly ListedEntry[] {
  return selectLatestStarts(entries, backendAddressOf);
}

/**
 * One entry for each node that has a live one. A machine may have entries of
 * several processes; they all stand for the one node there.
 */
export function selectNodes(
  entries: readonly ListedEntry[],
): readonly ListedEntry[] {
  const live = selectBackends(entries).filter(({ state }) => state === "live");
  return selectLatestStarts(live, ({ control }) => control);
}

/**
 * The entry of a backend server. An entry of another service at its address
 * does not end it: the removal of its own entry does.
 */
export function selectBackendEntry(
  entries: readonly ListedEntry[],
  { service, address }: BackendIdentity,
): ListedEntry | undefined {
  const ofService = entries.filter((entry) =>
    entry.service === service && backendAddressOf(entry) === address
  );
  return selectBackends(ofService)[0];
}
