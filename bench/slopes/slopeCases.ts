/**
 * @module
 * The costs that `npm run bench -- slopes` measures, collected from all roles.
 */
import { catalogueCases } from "./cases/catalogueCases.js";
import { claimCases } from "./cases/claimCases.js";
import { limitCases } from "./cases/limitCases.js";
import { membershipCases } from "./cases/membershipCases.js";
import { permitCases } from "./cases/permitCases.js";
import { quotaCases } from "./cases/quotaCases.js";
import { requestCases } from "./cases/requestCases.js";
import type { SlopeCase } from "./slopeCase.js";

/** Every measured cost. */
export const slopeCases: readonly SlopeCase[] = [
    ...requestCases,
    ...catalogueCases,
    ...claimCases,
    ...membershipCases,
    ...limitCases,
    ...permitCases,
    ...quotaCases,
];
