// Writes docs/operating/settings.md from the compiled settings table.
import { writeFileSync } from "node:fs";
import { formatSettingsReference } from "../dist/src/settings/index.js";

writeFileSync("docs/operating/settings.md", formatSettingsReference());
