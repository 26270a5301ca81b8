#!/bin/bash
# Builds the stand-ins of review/standins-2 into target/review-2. Needs the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags="-std=c++20 -O1 -Isrc -Ireview/standins-2 -DASIO_STANDALONE -DASIO_NO_DEPRECATED -DMSGPACK_NO_BOOST
  -DSPDLOG_FMT_EXTERNAL -DFMT_HEADER_ONLY -DTOML_HEADER_ONLY=1"
compile() {
  local object="$out/$(basename "$1" .cpp).o"
  [[ $object -nt $1 ]] || g++ $flags -c "$1" -o "$object"
}
for source in src/simulators/*.cpp review/standins-2/*.cpp; do
  compile "$source" &
  while (( $(jobs -rp | wc -l) >= 8 )); do wait -n; done
done
for job in $(jobs -p); do wait "$job"; done
simulators=()
for source in src/simulators/*.cpp; do simulators+=("$out/$(basename "$source" .cpp).o"); done
for source in review/standins-2/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ "$out/$name.o" "${simulators[@]}" target/libsumacquay_core.a -lhttp_parser -lconfuse -lpthread -o "$out/$name"
done
