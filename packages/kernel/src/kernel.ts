/** The micro-kernel: services that find each other by name. */

import { err, ok, type Result } from "neverthrow";

/** A typed service name. */
export interface ServiceKey<Service> {
  readonly name: string;
  /** Carries the type only; never set. */
  readonly service?: Service;
}

/** Something that a kernel can close. */
export interface Closable {
  readonly close: () => void | Promise<void>;
}

/** Why a kernel call failed. */
export type KernelError =
  | { readonly kind: "duplicate"; readonly name: string }
  | { readonly kind: "missing"; readonly name: string }
  | { readonly kind: "closed" };

/** A set of named services with one lifetime. */
export interface Kernel {
  /** Registers a service; its name must be free. */
  readonly register: <Service extends Closable>(
    name: ServiceKey<Service>,
    service: Service,
  ) => Result<Service, KernelError>;
  /** Finds a registered service. */
  readonly find: <Service extends Closable>(
    name: ServiceKey<Service>,
  ) => Result<Service, KernelError>;
  /** The registered names, in order of registration. */
  readonly names: () => readonly string[];
  /** Closes all services, the last registered first. */
  readonly close: () => Promise<void>;
}

/** Names a service of a given type. */
export function defineServiceKey<Service>(name: string): ServiceKey<Service> {
  return { name };
}

/** Creates an empty kernel. */
export function createKernel(): Kernel {
  const services = new Map<string, Closable>();
  let closed = false;

  return {
    register: (name, service) => {
      if (closed) return err({ kind: "closed" });
      if (services.has(name.name)) {
        return err({ kind: "duplicate", name: name.name });
      }
      services.set(name.name, service);
      return ok(service);
    },
    find: <Service extends Closable>(name: ServiceKey<Service>) => {
      const service = services.get(name.name);
      if (service === undefined) {
        return err({ kind: "missing" as const, name: name.name });
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
