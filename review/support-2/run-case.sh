# Runs the stand-ins of one case. Sourced by review/N/run.sh, with its folder in `here`.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
root=$(cd "$here/../.." && pwd)
program=$root/build-review-2/case-$(basename "$here")
run=$(sed -n 's/^run = "\(.*\)".*$/\1/p' "$root/deploy/balancer.toml")
if [ ! -x "$program" ] || [ -z "$run" ]; then
  echo "the case cannot run: build it with review/build-2.sh after the build of the deploy file"
  exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
code=0
timeout -k 2 115 "$program" "$root" "$run" "$folder" "$here/record.txt" || code=$?
case $code in
  0 | 1) exit "$code" ;;
  *) exit 2 ;;
esac
