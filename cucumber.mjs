export default {
    import: ["dist/features/support/siteWorld.js", "dist/features/steps/**/*.js"],
    format: ["./dist/features/support/summaryFormatter.js"],
    strict: true,
};
