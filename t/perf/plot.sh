#!/bin/sh
# Usage: plot.sh [OUTPUT-DIRECTORY]
# Plots the measurements in docs/measurements as PNG files.  Needs gnuplot and
# jq.

cd "$(dirname "$0")/../.." || exit 1
out=${1:-build/plots}
mkdir -p "$out"
command -v gnuplot >/dev/null || {
	echo "plot: gnuplot is not installed (package gnuplot-nox)" >&2
	exit 1
}
jq -r 'select(.run == "plain") |
	[.replicas, .seconds, .bound_seconds, .origin_copies] | @tsv' \
	docs/measurements/rollout.jsonl | sort -n >"$out/rollout.tsv"
jq -r 'select(.processes) | [.processes, .seconds_max] | @tsv' \
	docs/measurements/config.jsonl | sort -n >"$out/config.tsv"
gnuplot <<EOF
set terminal png size 720,440
set key top left
set grid
set xlabel "replicas"
set output "$out/time-to-n.png"
set ylabel "seconds"
set yrange [0:*]
plot "$out/rollout.tsv" using 1:2 with linespoints title "time to N", \
	"" using 1:3 with lines title "lower bound"
set output "$out/origin-copies.png"
set ylabel "copies from the origin"
set yrange [0:4]
plot "$out/rollout.tsv" using 1:4 with linespoints title "fetched", \
	1 with lines title "one copy"
set output "$out/config-spread.png"
set xlabel "processes"
set ylabel "seconds until in force in all processes"
set yrange [0:*]
plot "$out/config.tsv" using 1:2 with linespoints title "slowest change"
EOF
echo "plots are in $out"
