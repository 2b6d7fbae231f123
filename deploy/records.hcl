# When new tasks of sweeps go into records that many jobs share (docs/design.md, Packs):
# "scarce" (where there are more machines than the state service takes changes a second,
# which is what holds without this file), "always", or "off", as before going back to a
# version that does not read them.
records {
  packs = "always"
}
