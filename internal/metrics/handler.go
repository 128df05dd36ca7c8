package metrics

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// quantiles are the quantiles of a Distribution, in the order of its fields.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Distribution is the summary of a histogram that Handler serves.
type Distribution struct {
	// Count is the number of values since the start of the process.
	Count int64 `json:"count"`
	// Min, Mean and Max cover the newest values.
	Min  int64   `json:"min"`
	Mean float64 `json:"mean"`
	Max  int64   `json:"max"`
	// P50 to P999 are quantiles of the newest values.
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
}

// Handler serves the metrics of a registry as text, or as JSON for "?format=json".
func Handler(r gometrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		values := read(r)
		switch format := req.URL.Query().Get("format"); format {
		case "", "text":
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			writeText(w, values)
		case "json":
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(values)
		default:
			http.Error(w, "format: is not text or json", http.StatusBadRequest)
		}
	})
}

// read returns the value of each metric by name: an int64 or a Distribution.
func read(r gometrics.Registry) map[string]any {
	values := make(map[string]any)
	r.Each(func(name string, m any) {
		switch m := m.(type) {
		case gometrics.Counter:
			values[name] = m.Count()
		case gometrics.Gauge:
			values[name] = m.Value()
		case gometrics.Histogram:
			values[name] = distribution(m.Snapshot())
		}
	})
	return values
}

func distribution(h gometrics.Histogram) Distribution {
	q := h.Percentiles(quantiles)
	return Distribution{
		Count: h.Count(), Min: h.Min(), Mean: h.Mean(), Max: h.Max(),
		P50: q[0], P90: q[1], P99: q[2], P999: q[3],
	}
}

// writeText writes one metric with its unit per line, sorted by name.
func writeText(w io.Writer, values map[string]any) {
	for _, name := range slices.Sorted(maps.Keys(values)) {
		unit := unitOf(name)
		switch v := values[name].(type) {
		case int64:
			fmt.Fprintf(w, "%-40s %12d %s\n", name, v, unit)
		case Distribution:
			fmt.Fprintf(w, "%-40s %12d values, p50 %.0f p90 %.0f p99 %.0f p99.9 %.0f max %d %s\n",
				name, v.Count, v.P50, v.P90, v.P99, v.P999, v.Max, unit)
		}
	}
}

// find returns the definition of the metric with the given name, or nil.
func find(name string) *Definition {
	for i := range Catalogue {
		prefix, _, family := strings.Cut(Catalogue[i].Name, "<")
		if name == Catalogue[i].Name || (family && strings.HasPrefix(name, prefix)) {
			return &Catalogue[i]
		}
	}
	return nil
}

func unitOf(name string) string {
	if d := find(name); d != nil {
		return d.Unit
	}
	return ""
}
