// The parts of prom-client that the platform's bundle uses: no push gateway, cluster support or default metrics.
import Counter from "prom-client/lib/counter.js";
import Gauge from "prom-client/lib/gauge.js";
import Histogram from "prom-client/lib/histogram.js";
import Registry from "prom-client/lib/registry.js";

export { Counter, Gauge, Histogram, Registry };
