/** Micro-kernel: a registry of the services of one process, by name. */

import { err, ok, type Result } from "neverthrow";

/** The key under which a service is registered, with the service's type. */
export interface ServiceKey<Service> {
  readonly name: string;
  /** Carries the service's type for the compiler; never set at run time. */
  readonly service?: Service;
}

/** A service that releases its resources on `close`. */
export interface Closable {
  readonly close: () => void | Promise<void>;
}

/** Why a service was not registered or not found. */
export type KernelError =
  | { readonly kind: "duplicate"; readonly name: string }
  | { readonly kind: "missing"; readonly name: string }
  | { readonly kind: "closed" };

/** A set of services that are closed together. */
export interface Kernel {
  /**
   * Registers a service. Fails with `duplicate` if its name is taken, and with
   * `closed` after `close`.
   */
  readonly register: <Service extends Closable>(
    key: ServiceKey<Service>,
    service: Service,
  ) => Result<Service, KernelError>;
  /** Returns a registered service; fails with `missing` if there is none. */
  readonly find: <Service extends Closable>(
    key: ServiceKey<Service>,
  ) => Result<Service, KernelError>;
  /** Names of the registered services, in order of registration. */
  readonly names: () => readonly string[];
  /** Closes all services, in reverse order of registration. */
  readonly close: () => Promise<void>;
}

/** Creates the key of a service; the name must be unique in a kernel. */
export function defineServiceKey<Service>(name: string): ServiceKey<Service> {
  return { name };
}

/** Creates a kernel without services. */
export function createKernel(): Kernel {
  const services = new Map<string, Closable>();
  let closed = false;

  return {
    register: (key, service) => {
      if (closed) return err({ kind: "closed" });
      if (services.has(key.name)) {
        return err({ kind: "duplicate", name: key.name });
      }
      services.set(key.name, service);
      return ok(service);
    },
    find: <Service extends Closable>(key: ServiceKey<Service>) => {
      const service = services.get(key.name);
      if (service === undefined) {
        return err({ kind: "missing" as const, name: key.name });
      }
      return ok(service as Service);
    },
    names: () => [...services.keys()],
    close: async () => {
      if (closed) return;
      closed = true;
      for (const service of [...services.values()].reverse()) {
        await service.close();
      }
    },
  };
}
