// Writes docs/operating/settings.md from the built table of settings.
import { writeFileSync } from "node:fs";
import { formatSettingsReference } from "../dist/src/settings/index.js";

writeFileSync("docs/operating/settings.md", formatSettingsReference());
