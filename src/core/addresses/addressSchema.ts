/**
 * @module
 * Schema of an "ip:port" that comes from outside the process.
 */
import * as z from "zod";
import { isAddress } from "./isAddress.js";

/** Schema of an address; see {@link isAddress}. */
export const addressSchema = z.string().refine(isAddress, "expected an IPv4 address and a port from 1 to 65535");
