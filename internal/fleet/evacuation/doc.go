// Package evacuation decides which failure domains are evacuated, by the rows that the operator writes. The targets of
// an evacuated domain receive nothing but health checks.
package evacuation
