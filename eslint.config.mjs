import jsdoc from "eslint-plugin-jsdoc";
import tseslint from "typescript-eslint";

const publicDocs = {
    plugins: { jsdoc },
    rules: {
        "jsdoc/require-file-overview": ["error", { tags: { module: { mustExist: true, preventDuplicates: true, initialCommentsOnly: true } } }],
        "jsdoc/require-jsdoc": ["error", {
            publicOnly: true,
            require: { FunctionDeclaration: true, ClassDeclaration: true },
            contexts: [
                "ExportNamedDeclaration > TSInterfaceDeclaration",
                "ExportNamedDeclaration > TSTypeAliasDeclaration",
                "ExportNamedDeclaration > VariableDeclaration",
            ],
        }],
        "jsdoc/require-description": ["error", { contexts: ["ExportNamedDeclaration > FunctionDeclaration"] }],
        "jsdoc/require-param": ["error", { checkDestructured: false, contexts: ["ExportNamedDeclaration > FunctionDeclaration"] }],
        "jsdoc/require-returns": ["error", { contexts: ["ExportNamedDeclaration > FunctionDeclaration"] }],
        "jsdoc/check-param-names": ["error", { checkDestructured: false }],
    },
};

export default tseslint.config(
    { ignores: ["dist/**", "target/**", "node_modules/**", "scripts/**", "*.mjs"] },
    ...tseslint.configs.recommended,
    {
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": ["error", "always"],
            "no-restricted-syntax": ["error", { selector: "Literal[raw='null']", message: "Use undefined." }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "default", format: ["camelCase"], leadingUnderscore: "forbid" },
                { selector: "parameter", filter: "^_$", format: null },
                { selector: "import", format: ["camelCase", "PascalCase"] },
                { selector: "typeLike", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: ["objectLiteralProperty", "typeProperty"], format: null },
                { selector: "variable", modifiers: ["const", "global"], format: ["camelCase"] },
            ],
        },
    },
    { files: ["src/**/*.ts", "platform/**/*.ts", "fakes/**/*.ts"], ...publicDocs },
    {
        // Stand-ins are described in a sentence each; their parameters are typed.
        files: ["fakes/**/*.ts"],
        rules: { "jsdoc/require-param": "off", "jsdoc/require-returns": "off" },
    },
    {
        // The core is free of I/O: no Node.js module and nothing of src/io may be imported there.
        files: ["src/core/**/*.ts"],
        rules: {
            "no-restricted-imports": ["error", {
                patterns: [
                    { group: ["node:*", "!node:crypto"], message: "The core performs no I/O." },
                    { group: ["**/io/**", "undici", "polka", "@trpc/*", "loglevel", "prom-client"], message: "The core performs no I/O." },
                ],
            }],
            "no-restricted-globals": ["error", "setTimeout", "setInterval", "setImmediate", "process", "fetch", "performance"],
            "no-restricted-properties": ["error", { object: "Date", property: "now" }, { object: "Math", property: "random" }],
        },
    },
    {
        // A public function of the core documents its use by a worked example.
        files: ["src/core/**/*.ts"],
        plugins: { jsdoc },
        rules: { "jsdoc/require-example": ["error", { contexts: ["ExportNamedDeclaration > FunctionDeclaration"] }] },
    },
);
