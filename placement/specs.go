package placement

// maxSpecBytes is how many bytes of task specs the runs of this entry may have at one target. A start carries its
// task's spec, so that a job of legal size with thousands of tasks would otherwise fill the links with a
// gigabyte at once. Four specs of the largest size fit, and two thousand of 500 bytes; targets run about ten tasks at a time.
const maxSpecBytes = 1 << 20

// specFits reports whether one more run of a job's tasks may be at a target, by the size of its spec. A target
// without a run takes any.
func (t *target) specFits(j *activeJob) bool {
	return len(t.runs) == 0 || t.specBytes+len(j.request.Job.Spec) <= maxSpecBytes
}
