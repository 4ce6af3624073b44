// Package fbadmission contains the rules by which a coordinator accepts jobs. They do no
// input or output.
package fbadmission
