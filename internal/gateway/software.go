package gateway

// maxLoggedSoftware bounds a software version in logs, in bytes.
const maxLoggedSoftware = 64

// logged returns a software version as it is logged.
func logged(software string) string {
	if len(software) <= maxLoggedSoftware {
		return software
	}
	return software[:maxLoggedSoftware] + "..."
}
