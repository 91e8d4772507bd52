export default {
    paths: ["features/**/*.feature"],
    import: ["dist/features/support/siteWorld.js", "dist/features/steps/**/*.js"],
    format: ["./dist/features/support/summaryFormatter.js"],
    strict: true,
};
